package io.persimmonreel.daemon.relay;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.persimmonreel.core.quota.QuotaTolerance;
import io.persimmonreel.core.warmup.WarmUpBound;
import io.persimmonreel.daemon.directory.DirectoryRetention;
import io.persimmonreel.daemon.settings.SettingsException;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Holds the settings of a relay.
 *
 * @param name the name of the daemon
 * @param zone the availability zone
 * @param callerAddress the address for callers
 * @param readinessAddress the address of the readiness endpoint
 * @param peerAddress the address for other daemons
 * @param metricsAddress the address of the metrics endpoint
 * @param seeds addresses of other daemons to connect to while no peer is connected
 * @param firstStart whether the whole fleet starts for the first time, so that no other daemon runs
 *     that can't be reached
 * @param directoryAddress the address of the directory
 * @param grace the time between the signal to stop and the end of the process
 * @param propagation the time within which a draining replica and an evacuated zone must stop
 *     receiving new requests, and a new configuration must be in force
 * @param recovery the time after a failure of connections within which a daemon must know all
 *     earlier changes
 * @param retryRatio the number of retries that each request adds to the budget of the fleet
 * @param retrySlack the number of retries that the fleet may make in a window of the budget beyond
 *     that
 * @param quotaTolerance the tolerated use beyond the quotas of customers
 * @param heldLimits the bounds on requests that wait for a replica
 * @param warmUpBound the bound on requests to cold replicas, empty if there is none
 * @param evacuation the time within which an evacuated availability zone must stop receiving new
 *     requests, empty if zones are not evacuated
 * @param directoryRetention what the directory keeps of past changes, empty if it is not known
 */
public record RelaySettings(
        String name,
        String zone,
        InetSocketAddress callerAddress,
        InetSocketAddress readinessAddress,
        InetSocketAddress peerAddress,
        InetSocketAddress metricsAddress,
        List<InetSocketAddress> seeds,
        boolean firstStart,
        InetSocketAddress directoryAddress,
        Duration grace,
        Duration propagation,
        Duration recovery,
        double retryRatio,
        double retrySlack,
        QuotaTolerance quotaTolerance,
        HeldLimits heldLimits,
        Optional<WarmUpBound> warmUpBound,
        Optional<Duration> evacuation,
        Optional<DirectoryRetention> directoryRetention) {
    private static final ObjectMapper MAPPER =
            JsonMapper.builder().enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS).build();

    /** The recovery time of settings without one, as a multiple of the propagation time. */
    private static final double STANDARD_RECOVERY_FACTOR = 1.5;

    /** Makes a defensive copy of the seeds. */
    public RelaySettings {
        seeds = List.copyOf(seeds);
    }

    /**
     * Reads a settings file.
     *
     * @param file a JSON file
     * @return the settings
     * @throws SettingsException if the file can't be read or a field is missing or malformed
     */
    public static RelaySettings read(final Path file) throws SettingsException {
        try {
            return parse(file.toString(), Files.readAllBytes(file));
        } catch (final IOException e) {
            throw new SettingsException(file.toString(), e.toString());
        }
    }

    /**
     * Parses the content of a settings file.
     *
     * @param name the name of the file, used in errors
     * @param content a JSON object
     * @return the settings
     * @throws SettingsException if the content is not a JSON object or a field is missing or
     *     malformed
     */
    public static RelaySettings parse(final String name, final byte[] content)
            throws SettingsException {
        final JsonNode root;
        try {
            root = MAPPER.readTree(content);
        } catch (final IOException e) {
            throw new SettingsException(name, e.toString());
        }
        if (root == null || !root.isObject()) {
            throw new SettingsException(name, "the settings are not a JSON object");
        }
        final Reader reader = new Reader(name, root);
        final InetSocketAddress peer = reader.address("peerAddress");
        final double drain = reader.number("drainMillis");
        final double propagation = reader.number("propagationMillis", drain);
        final double recovery = propagation * STANDARD_RECOVERY_FACTOR;
        final Optional<Duration> evacuation = evacuation(reader);
        return new RelaySettings(
                reader.text("name"),
                reader.text("zone"),
                reader.address("callerAddress"),
                reader.address("readinessAddress"),
                peer,
                reader.address("metricsAddress"),
                reader.addresses("seeds"),
                reader.flag("firstStart"),
                reader.address("directoryAddress"),
                Duration.ofMillis((long) (reader.number("graceSeconds") * 1_000)),
                shorter(Duration.ofMillis((long) Math.min(drain, propagation)), evacuation),
                Duration.ofMillis((long) reader.number("recoveryMillis", recovery)),
                reader.number("retryRatio"),
                reader.number("retrySlack"),
                new QuotaTolerance(
                        reader.number("quotaOvershoot"),
                        reader.number("quotaTolerance"),
                        reader.seconds("quotaWindowSeconds")),
                new HeldLimits(
                        (int)
                                Math.max(
                                        1,
                                        reader.number(
                                                "heldRequests", HeldLimits.STANDARD.requests())),
                        (long)
                                Math.max(
                                        1,
                                        reader.number(
                                                "heldBodyBytes", HeldLimits.STANDARD.bodyBytes()))),
                warmUpBound(reader),
                evacuation,
                directoryRetention(reader));
    }

    private static Optional<DirectoryRetention> directoryRetention(final Reader reader)
            throws SettingsException {
        return reader.root().hasNonNull("directoryHistorySeconds")
                ? Optional.of(
                        new DirectoryRetention(
                                reader.seconds("directoryHistorySeconds"),
                                Duration.ofMillis((long) reader.number("replicaWriteMillis"))))
                : Optional.empty();
    }

    private static Optional<Duration> evacuation(final Reader reader) throws SettingsException {
        return reader.root().hasNonNull("evacuateMillis")
                ? Optional.of(Duration.ofMillis((long) reader.number("evacuateMillis")))
                : Optional.empty();
    }

    private static Duration shorter(final Duration bound, final Optional<Duration> other) {
        return other.filter(time -> time.compareTo(bound) < 0).orElse(bound);
    }

    private static Optional<WarmUpBound> warmUpBound(final Reader reader) throws SettingsException {
        return reader.root().hasNonNull("warmupOvershoot")
                ? Optional.of(
                        new WarmUpBound(
                                reader.number("warmupOvershoot"),
                                reader.number("warmupTolerance", 0)))
                : Optional.empty();
    }

    /** Reads fields of the settings object and names the field in errors. */
    private record Reader(String file, JsonNode root) {
        String text(final String field) throws SettingsException {
            final JsonNode node = root.get(field);
            if (node == null || !node.isTextual() || node.asText().isEmpty()) {
                throw new SettingsException(file + ": " + field, "a non-empty string is required");
            }
            return node.asText();
        }

        double number(final String field) throws SettingsException {
            final JsonNode node = root.get(field);
            if (node == null || !node.isNumber() || node.asDouble() < 0) {
                throw new SettingsException(
                        file + ": " + field, "a number of at least 0 is required");
            }
            return node.asDouble();
        }

        double number(final String field, final double ifAbsent) throws SettingsException {
            return root.hasNonNull(field) ? number(field) : ifAbsent;
        }

        boolean flag(final String field) throws SettingsException {
            final JsonNode node = root.get(field);
            if (node != null && !node.isNull() && !node.isBoolean()) {
                throw new SettingsException(file + ": " + field, "true or false is required");
            }
            return node != null && node.asBoolean();
        }

        Duration seconds(final String field) throws SettingsException {
            final double seconds = number(field);
            if (seconds <= 0) {
                throw new SettingsException(
                        file + ": " + field, "a number of seconds above 0 is required");
            }
            return Duration.ofMillis(Math.max(1, Math.round(seconds * 1_000)));
        }

        InetSocketAddress address(final String field) throws SettingsException {
            return parse(field, text(field));
        }

        List<InetSocketAddress> addresses(final String field) throws SettingsException {
            final List<InetSocketAddress> addresses = new ArrayList<>();
            final JsonNode node = root.get(field);
            if (node == null || !node.isArray()) {
                throw new SettingsException(file + ": " + field, "a list is required");
            }
            for (final JsonNode element : node) {
                addresses.add(parse(field, element.asText()));
            }
            return addresses;
        }

        private InetSocketAddress parse(final String field, final String text)
                throws SettingsException {
            final int colon = text.lastIndexOf(':');
            try {
                return new InetSocketAddress(
                        text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
            } catch (final IndexOutOfBoundsException | IllegalArgumentException e) {
                throw new SettingsException(
                        file + ": " + field, "HOST:PORT is required, found " + text);
            }
        }
    }
}
