package io.persimmonreel.core.config;

import io.persimmonreel.core.customer.CustomerSpec;
import io.persimmonreel.core.service.ObjectiveSpec;
import io.persimmonreel.core.service.ReplicaSpec;
import io.persimmonreel.core.service.ServiceSpec;
import io.persimmonreel.core.service.Tier;
import io.persimmonreel.core.service.UpstreamKind;
import io.persimmonreel.core.service.UpstreamSpec;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Pattern;

/** Reads the sections of one operator text into records, and reports duplicates among them. */
final class SpecReader {
    private static final String KEY_DIGEST_PREFIX = "sha256:";
    private static final Pattern KEY_DIGEST = Pattern.compile("sha256:[0-9a-f]{64}");

    /** A target of 1 leaves no error budget, so that its burn rate would not be defined. */
    private static final double MAXIMUM_TARGET = 0.999_999;

    private final Set<String> mZones = new HashSet<>();
    private final Set<String> mReplicaIds = new HashSet<>();
    private final Set<String> mKeyDigests = new HashSet<>();

    FleetSpec fleet(final SectionReader section) {
        final FleetSpec fleet =
                new FleetSpec(
                        section.id("name"),
                        section.integer("maximumDaemons", 1, ConfigurationLimits.MAXIMUM_DAEMONS),
                        section.integerOr(
                                "claimGroups", 1, ConfigurationLimits.MAXIMUM_CLAIM_GROUPS, 1),
                        section.duration(
                                "clockSkew", 1, ConfigurationLimits.MAXIMUM_CLOCK_SKEW_MILLIS),
                        section.duration(
                                "opaqueKeyRepeat",
                                1,
                                ConfigurationLimits.MAXIMUM_KEY_REPEAT_MILLIS),
                        section.ids("zones", 1, ConfigurationLimits.MAXIMUM_ZONES));
        section.reportUnknownKeys();
        mZones.addAll(fleet.zones());
        return fleet;
    }

    int loadsPerMinute(final SectionReader section) {
        final int loads =
                section.integer("loadsPerMinute", 1, ConfigurationLimits.MAXIMUM_LOADS_PER_MINUTE);
        section.reportUnknownKeys();
        return loads;
    }

    CustomerSpec customer(final SectionReader section) {
        final CustomerSpec customer =
                new CustomerSpec(
                        section.id("id"),
                        keyDigests(section),
                        section.integerOr("share", 1, ConfigurationLimits.MAXIMUM_SHARE, 1),
                        section.integer(
                                "maximumConcurrent",
                                1,
                                ConfigurationLimits.MAXIMUM_CONCURRENT_REQUESTS),
                        section.decimal(
                                "requestsPerSecond",
                                0,
                                ConfigurationLimits.MAXIMUM_REQUESTS_PER_SECOND));
        section.reportUnknownKeys();
        return customer;
    }

    private List<String> keyDigests(final SectionReader section) {
        final List<String> digests = new ArrayList<>();
        final List<String> texts =
                section.texts("keyDigests", 1, ConfigurationLimits.MAXIMUM_KEYS_PER_CUSTOMER);
        for (int i = 0; i < texts.size(); i++) {
            final String text = texts.get(i);
            if (!KEY_DIGEST.matcher(text).matches()) {
                section.reportItem(
                        "keyDigests", i, "is not sha256: and 64 lower-case hexadecimal digits");
            } else if (!mKeyDigests.add(text)) {
                // A key that two customers share would not identify the caller.
                section.reportItem("keyDigests", i, "is a duplicate digest");
            } else {
                digests.add(text.substring(KEY_DIGEST_PREFIX.length()));
            }
        }
        return digests;
    }

    UpstreamSpec upstream(final SectionReader section) {
        final String id = section.id("id");
        final UpstreamKind kind =
                section.choice("kind", SpecReader::kind, "engine or plain")
                        .orElse(UpstreamKind.ENGINE);
        final boolean engine = kind == UpstreamKind.ENGINE;
        if (!engine && (section.has("model") || section.has("modelVersion"))) {
            section.report("model", "is only allowed for an engine");
        }
        final UpstreamSpec upstream =
                new UpstreamSpec(
                        id,
                        kind,
                        section.flagOr("checksFencing", false),
                        section.flagOr("checksKeys", false),
                        engine ? section.visibleText("model") : section.visibleTextOr("model", ""),
                        engine
                                ? section.visibleText("modelVersion")
                                : section.visibleTextOr("modelVersion", ""),
                        section
                                .sections(
                                        "replicas",
                                        1,
                                        ConfigurationLimits.MAXIMUM_REPLICAS_PER_UPSTREAM)
                                .stream()
                                .map(this::replica)
                                .toList());
        section.reportUnknownKeys();
        return upstream;
    }

    private static Optional<UpstreamKind> kind(final String label) {
        return switch (label) {
            case "engine" -> Optional.of(UpstreamKind.ENGINE);
            case "plain" -> Optional.of(UpstreamKind.PLAIN);
            default -> Optional.empty();
        };
    }

    private ReplicaSpec replica(final SectionReader section) {
        final ReplicaSpec replica =
                new ReplicaSpec(
                        section.id("id"),
                        section.visibleText("address"),
                        section.id("zone"),
                        section.id("generation"),
                        section.integer(
                                "concurrency", 1, ConfigurationLimits.MAXIMUM_REPLICA_CONCURRENCY));
        section.reportUnknownKeys();
        if (!replica.id().isEmpty() && !mReplicaIds.add(replica.id())) {
            section.report("id", "is a duplicate id: " + replica.id());
        }
        if (!replica.address().isEmpty() && !Addresses.isValid(replica.address())) {
            section.report("address", "is not an IP number and port such as 10.0.0.1:9000");
        }
        if (!replica.zone().isEmpty() && !mZones.contains(replica.zone())) {
            section.report("zone", "is not a zone of the fleet: " + replica.zone());
        }
        return replica;
    }

    ServiceSpec service(final SectionReader section) {
        final Duration deadline =
                section.duration("deadline", 1, ConfigurationLimits.MAXIMUM_DEADLINE_MILLIS);
        final ServiceSpec service =
                new ServiceSpec(
                        section.id("id"),
                        section.id("upstream"),
                        section.choice("tier", Tier::ofLabel, "urgent, high, normal or bulk")
                                .orElse(Tier.BULK),
                        section.flag("idempotent"),
                        dependencies(section),
                        deadline,
                        section.integer(
                                "maximumBodyBytes", 1, ConfigurationLimits.MAXIMUM_BODY_BYTES),
                        section.integerOr(
                                "maximumOutputTokens",
                                0,
                                ConfigurationLimits.MAXIMUM_OUTPUT_TOKENS,
                                0),
                        section.section("objective").map(this::objective).orElse(null));
        section.reportUnknownKeys();
        return service;
    }

    private static List<String> dependencies(final SectionReader section) {
        final int maximum = ConfigurationLimits.MAXIMUM_DEPENDENCIES;
        return section.has("dependsOn") ? section.ids("dependsOn", 0, maximum) : List.of();
    }

    private ObjectiveSpec objective(final SectionReader section) {
        final long maximum = ConfigurationLimits.MAXIMUM_DEADLINE_MILLIS;
        final ObjectiveSpec objective =
                new ObjectiveSpec(
                        section.decimal("target", 0, MAXIMUM_TARGET),
                        section.duration("firstToken", 1, maximum),
                        section.has("betweenTokens")
                                ? section.duration("betweenTokens", 1, maximum)
                                : Duration.ZERO,
                        section.duration("complete", 1, maximum));
        section.reportUnknownKeys();
        if (objective.firstToken().compareTo(objective.complete()) > 0) {
            section.report("firstToken", "is longer than complete");
        }
        return objective;
    }
}
