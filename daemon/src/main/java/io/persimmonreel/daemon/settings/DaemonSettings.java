package io.persimmonreel.daemon.settings;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Holds the settings of a daemon.
 *
 * @param callerAddress the address on which callers connect
 * @param operatorAddress the address on which operators connect, loopback unless set
 * @param peerAddress the address on which other daemons connect
 * @param slot the daemon's number in the fleet, at least 1
 * @param zone the availability zone of the daemon
 * @param platformAddress the address of the configuration service and the host list
 * @param peers addresses of other daemons to connect to at start
 * @param fleetSecret the secret that all daemons share
 * @param tls certificate and key for callers, empty for plain HTTP
 * @param peerTls files for TLS between daemons, empty for plain TCP
 * @param logFormat the format of log lines
 * @param drain the longest time that a shutdown waits for requests in progress
 */
public record DaemonSettings(
        InetSocketAddress callerAddress,
        InetSocketAddress operatorAddress,
        InetSocketAddress peerAddress,
        int slot,
        String zone,
        InetSocketAddress platformAddress,
        List<InetSocketAddress> peers,
        FleetSecret fleetSecret,
        Optional<TlsFiles> tls,
        Optional<PeerTlsFiles> peerTls,
        LogFormat logFormat,
        Duration drain) {
    /** Copies the list of peers. */
    public DaemonSettings {
        peers = List.copyOf(peers);
    }

    /**
     * Holds the files of a certificate and its key.
     *
     * @param certificate the certificate chain in PEM
     * @param key the PKCS #8 key in PEM
     */
    public record TlsFiles(Path certificate, Path key) {}

    /**
     * Holds the files for TLS between daemons.
     *
     * @param certificate the certificate chain in PEM
     * @param key the PKCS #8 key in PEM
     * @param authority the accepted certificate authorities in PEM
     */
    public record PeerTlsFiles(Path certificate, Path key, Path authority) {}

    /**
     * Reads settings. A flag takes precedence over its variable {@code PERSIMMONREEL_<FLAG>}.
     *
     * @param arguments the flags
     * @param environment the environment variables
     * @return the settings
     * @throws SettingsException if a setting is missing or malformed
     */
    public static DaemonSettings parse(
            final String[] arguments, final Map<String, String> environment)
            throws SettingsException {
        return new SettingsReader(environment).read(arguments);
    }

    /**
     * Returns a description of all flags.
     *
     * @return the usage text
     */
    public static String usage() {
        return SettingsReader.usage();
    }
}
