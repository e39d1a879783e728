package io.persimmonreel.core.config;

import io.persimmonreel.core.customer.CustomerSpec;
import io.persimmonreel.core.service.ServiceSpec;
import io.persimmonreel.core.service.UpstreamSpec;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;

/**
 * Reads and checks operator texts. The result depends on the text alone, so that all daemons come
 * to the same one.
 */
public final class OperatorTextParser {
    /**
     * Reads a text and checks all of it, past the first finding.
     *
     * @param file the name of the file or other source of the text, used in findings
     * @param version the version given by the configuration service, at least 1
     * @param text the operator text
     * @return the checked configuration
     * @throws ConfigurationException if the text has at least one finding
     */
    public Configuration parse(final String file, final long version, final String text)
            throws ConfigurationException {
        final Findings findings = new Findings(file);
        if (isTooLarge(text)) {
            findings.add(
                    1,
                    "text",
                    "is larger than " + ConfigurationLimits.MAXIMUM_TEXT_BYTES + " bytes");
            findings.throwIfAny();
        }
        final Optional<LocatedNode> root = LocatedTreeReader.read(text, findings);
        if (root.isEmpty()) {
            findings.throwIfAny();
        }
        final Configuration configuration =
                new ConfigurationReader(
                                new SectionReader(findings, "", root.orElseThrow()), findings)
                        .read(version, text);
        findings.throwIfAny();
        return configuration;
    }

    private static boolean isTooLarge(final String text) {
        return text.length() > ConfigurationLimits.MAXIMUM_TEXT_BYTES
                || text.getBytes(StandardCharsets.UTF_8).length
                        > ConfigurationLimits.MAXIMUM_TEXT_BYTES;
    }

    /**
     * Holds a value and the section that it was read from, so that later findings have its line.
     *
     * @param value the value
     * @param section the section
     * @param <T> the type of the value
     */
    record Sourced<T>(T value, SectionReader section) {}

    /** Reads the configuration from the tree of one text. */
    private static final class ConfigurationReader {
        private final SectionReader mRoot;
        private final Findings mFindings;
        private final SpecReader mSpecReader;

        ConfigurationReader(final SectionReader root, final Findings findings) {
            mRoot = root;
            mFindings = findings;
            mSpecReader = new SpecReader();
        }

        /** Returns null if there are findings. */
        Configuration read(final long version, final String text) {
            mRoot.integer("format", ConfigurationLimits.FORMAT, ConfigurationLimits.FORMAT);
            final Optional<FleetSpec> fleet = mRoot.section("fleet").map(mSpecReader::fleet);
            final List<Sourced<CustomerSpec>> customers =
                    readList(
                            "customers",
                            ConfigurationLimits.MAXIMUM_CUSTOMERS,
                            mSpecReader::customer);
            final List<Sourced<UpstreamSpec>> upstreams =
                    readList(
                            "upstreams",
                            ConfigurationLimits.MAXIMUM_UPSTREAMS,
                            mSpecReader::upstream);
            final List<Sourced<ServiceSpec>> services =
                    readList(
                            "services", ConfigurationLimits.MAXIMUM_SERVICES, mSpecReader::service);
            final int loads =
                    mRoot.section("weightStore").map(mSpecReader::loadsPerMinute).orElse(1);
            mRoot.reportUnknownKeys();
            final Map<String, CustomerSpec> customersById = byId(customers, CustomerSpec::id);
            final Map<String, UpstreamSpec> upstreamsById = byId(upstreams, UpstreamSpec::id);
            final Map<String, ServiceSpec> servicesById = byId(services, ServiceSpec::id);
            final ReferenceCheck references =
                    new ReferenceCheck(services, servicesById, upstreamsById);
            references.run();
            if (!mFindings.isEmpty()) {
                return null;
            }
            return new Configuration(
                    version,
                    Digests.sha256Hex(text),
                    text,
                    fleet.orElseThrow(),
                    customersById,
                    upstreamsById,
                    servicesById,
                    loads);
        }

        private <T> List<Sourced<T>> readList(
                final String name, final int maximum, final Function<SectionReader, T> reader) {
            return mRoot.sections(name, 1, maximum).stream()
                    .map(section -> new Sourced<>(reader.apply(section), section))
                    .toList();
        }

        private static <T> Map<String, T> byId(
                final List<Sourced<T>> values, final Function<T, String> id) {
            final Map<String, T> byId = new LinkedHashMap<>();
            for (final Sourced<T> value : values) {
                final String key = id.apply(value.value());
                if (byId.putIfAbsent(key, value.value()) != null && !key.isEmpty()) {
                    value.section().report("id", "is a duplicate id: " + key);
                }
            }
            return byId;
        }
    }
}
