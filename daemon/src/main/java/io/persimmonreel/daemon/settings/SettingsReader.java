package io.persimmonreel.daemon.settings;

import io.netty.util.NetUtil;
import io.persimmonreel.daemon.settings.DaemonSettings.PeerTlsFiles;
import io.persimmonreel.daemon.settings.DaemonSettings.TlsFiles;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;

/** Reads the settings of a daemon from flags and environment variables and checks them. */
final class SettingsReader {
    private static final String ENVIRONMENT_PREFIX = "PERSIMMONREEL_";
    private static final String SECRET_VARIABLE = "PERSIMMONREEL_FLEET_SECRET";

    /** A shorter secret could be guessed offline from one recorded handshake. */
    private static final int MINIMUM_SECRET_BYTES = 16;

    private static final int DEFAULT_OPERATOR_PORT = 9180;
    private static final int MAXIMUM_SLOT = 1_000_000;
    private static final String DEFAULT_DRAIN_SECONDS = "600";
    private static final int MAXIMUM_DRAIN_SECONDS = 24 * 3600;

    private static final Map<String, String> FLAG_HELP = flagHelp();

    private final Map<String, String> mEnvironment;

    SettingsReader(final Map<String, String> environment) {
        mEnvironment = Map.copyOf(environment);
    }

    static String usage() {
        return parser().formatHelp();
    }

    /**
     * Reads settings.
     *
     * @param arguments the flags and their values
     * @return the settings
     * @throws SettingsException if a setting is missing or malformed
     */
    DaemonSettings read(final String[] arguments) throws SettingsException {
        final Namespace values;
        try {
            values = parser().parseArgs(arguments);
        } catch (final ArgumentParserException e) {
            throw new SettingsException("flags", e.getMessage());
        }
        return new DaemonSettings(
                address(values, "caller-address"),
                optionalText(values, "operator-address").isPresent()
                        ? address(values, "operator-address")
                        : new InetSocketAddress(
                                InetAddress.getLoopbackAddress(), DEFAULT_OPERATOR_PORT),
                address(values, "peer-address"),
                number(values, "slot", 1, MAXIMUM_SLOT),
                requiredText(values, "zone"),
                address(values, "platform-address"),
                peers(values),
                secret(values),
                tls(values),
                peerTls(values),
                logFormat(values),
                Duration.ofSeconds(number(values, "drain-seconds", 0, MAXIMUM_DRAIN_SECONDS)));
    }

    private static Map<String, String> flagHelp() {
        final Map<String, String> flagHelp = new LinkedHashMap<>();
        flagHelp.put("caller-address", "ip:port where callers connect");
        flagHelp.put(
                "operator-address",
                "ip:port where operators connect (default: 127.0.0.1:"
                        + DEFAULT_OPERATOR_PORT
                        + ")");
        flagHelp.put("peer-address", "ip:port where other daemons connect");
        flagHelp.put("slot", "number of this daemon in the fleet, from 1");
        flagHelp.put("zone", "availability zone");
        flagHelp.put("platform-address", "ip:port of the configuration service and host list");
        flagHelp.put("peers", "ip:port of other daemons, separated by commas");
        flagHelp.put(
                "fleet-secret-file",
                "file with the secret that all daemons share; a second line holds another"
                        + " accepted one (or variable "
                        + SECRET_VARIABLE
                        + ")");
        flagHelp.put("tls-certificate", "PEM file with the certificate chain for callers");
        flagHelp.put("tls-key", "PEM file with the PKCS #8 key of the certificate");
        flagHelp.put("peer-tls-certificate", "PEM file with the certificate chain for peers");
        flagHelp.put("peer-tls-key", "PEM file with the PKCS #8 key of that certificate");
        flagHelp.put(
                "peer-tls-authority",
                "PEM file with the accepted authorities of peers, two during a change");
        flagHelp.put("log-format", "text or json (default: text)");
        flagHelp.put(
                "drain-seconds",
                "longest wait for requests in progress (default: " + DEFAULT_DRAIN_SECONDS + ")");
        return Map.copyOf(flagHelp);
    }

    private static ArgumentParser parser() {
        final ArgumentParser parser =
                ArgumentParsers.newFor("persimmonreel daemon")
                        .terminalWidthDetection(false)
                        .build()
                        .description(
                                "Runs one daemon. Each flag may be given as an environment"
                                        + " variable "
                                        + ENVIRONMENT_PREFIX
                                        + "<FLAG>.");
        FLAG_HELP.keySet().stream()
                .sorted()
                .forEach(
                        flag ->
                                parser.addArgument("--" + flag)
                                        .dest(flag)
                                        .help(FLAG_HELP.get(flag)));
        return parser;
    }

    private Optional<String> optionalText(final Namespace values, final String flag) {
        final String value = values.getString(flag);
        if (value != null) {
            return Optional.of(value);
        }
        final String variable =
                ENVIRONMENT_PREFIX + flag.toUpperCase(Locale.ROOT).replace('-', '_');
        return Optional.ofNullable(mEnvironment.get(variable));
    }

    private String requiredText(final Namespace values, final String flag)
            throws SettingsException {
        final Optional<String> value = optionalText(values, flag);
        if (value.isEmpty() || value.get().isBlank()) {
            throw new SettingsException("--" + flag, "is missing");
        }
        return value.get();
    }

    private int number(
            final Namespace values, final String flag, final int minimum, final int maximum)
            throws SettingsException {
        final String text =
                "drain-seconds".equals(flag)
                        ? optionalText(values, flag).orElse(DEFAULT_DRAIN_SECONDS)
                        : requiredText(values, flag);
        try {
            final int number = Integer.parseInt(text);
            if (number >= minimum && number <= maximum) {
                return number;
            }
        } catch (final NumberFormatException e) {
            throw new SettingsException("--" + flag, "is not a number");
        }
        throw new SettingsException("--" + flag, "is not from " + minimum + " to " + maximum);
    }

    private InetSocketAddress address(final Namespace values, final String flag)
            throws SettingsException {
        return address("--" + flag, requiredText(values, flag));
    }

    private static InetSocketAddress address(final String field, final String text)
            throws SettingsException {
        final int colon = text.lastIndexOf(':');
        try {
            final byte[] ip =
                    NetUtil.createByteArrayFromIpAddressString(
                            text.substring(0, Math.max(0, colon)));
            if (ip != null) {
                return new InetSocketAddress(
                        InetAddress.getByAddress(ip), Integer.parseInt(text.substring(colon + 1)));
            }
        } catch (final IOException | IllegalArgumentException e) {
            throw new SettingsException(field, "is not ip:port");
        }
        throw new SettingsException(field, "is not ip:port with a numeric IP address");
    }

    private List<InetSocketAddress> peers(final Namespace values) throws SettingsException {
        final List<InetSocketAddress> peers = new ArrayList<>();
        for (final String text : optionalText(values, "peers").orElse("").split(",")) {
            if (!text.isBlank()) {
                peers.add(address("--peers", text.trim()));
            }
        }
        return peers;
    }

    private FleetSecret secret(final Namespace values) throws SettingsException {
        final Optional<String> file = optionalText(values, "fleet-secret-file");
        final String secret;
        if (file.isPresent()) {
            try {
                secret = Files.readString(path("--fleet-secret-file", file.get())).strip();
            } catch (final IOException e) {
                throw new SettingsException("--fleet-secret-file", "can't be read");
            }
        } else {
            secret = mEnvironment.getOrDefault(SECRET_VARIABLE, "").strip();
        }
        final List<String> lines = secret.lines().map(String::strip).toList();
        if (lines.size() > 2) {
            throw new SettingsException("--fleet-secret-file", "has more than two lines");
        }
        final byte[] first = secretBytes(lines.isEmpty() ? "" : lines.get(0));
        return new FleetSecret(first, lines.size() == 2 ? secretBytes(lines.get(1)) : first);
    }

    private static byte[] secretBytes(final String line) throws SettingsException {
        final byte[] bytes = line.getBytes(StandardCharsets.UTF_8);
        if (bytes.length < MINIMUM_SECRET_BYTES) {
            throw new SettingsException(
                    "--fleet-secret-file",
                    "the secret is shorter than " + MINIMUM_SECRET_BYTES + " bytes");
        }
        return bytes;
    }

    private Optional<TlsFiles> tls(final Namespace values) throws SettingsException {
        final Optional<String> certificate = optionalText(values, "tls-certificate");
        final Optional<String> key = optionalText(values, "tls-key");
        if (certificate.isEmpty() && key.isEmpty()) {
            return Optional.empty();
        }
        if (certificate.isEmpty() || key.isEmpty()) {
            throw new SettingsException(
                    certificate.isEmpty() ? "--tls-certificate" : "--tls-key",
                    "is missing while the other file of the pair is set");
        }
        return Optional.of(
                new TlsFiles(
                        path("--tls-certificate", certificate.get()),
                        path("--tls-key", key.get())));
    }

    private Optional<PeerTlsFiles> peerTls(final Namespace values) throws SettingsException {
        final List<String> flags =
                List.of("peer-tls-certificate", "peer-tls-key", "peer-tls-authority");
        if (flags.stream().allMatch(flag -> optionalText(values, flag).isEmpty())) {
            return Optional.empty();
        }
        final List<Path> files = new ArrayList<>();
        for (final String flag : flags) {
            files.add(path("--" + flag, requiredText(values, flag)));
        }
        return Optional.of(new PeerTlsFiles(files.get(0), files.get(1), files.get(2)));
    }

    private static Path path(final String field, final String text) throws SettingsException {
        try {
            return Path.of(text);
        } catch (final InvalidPathException e) {
            throw new SettingsException(field, "is not a path");
        }
    }

    private LogFormat logFormat(final Namespace values) throws SettingsException {
        final String text = optionalText(values, "log-format").orElse("text");
        for (final LogFormat format : LogFormat.values()) {
            if (format.name().toLowerCase(Locale.ROOT).equals(text)) {
                return format;
            }
        }
        throw new SettingsException("--log-format", "is neither text nor json");
    }
}
