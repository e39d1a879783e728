package io.persimmonreel.cli;

import io.persimmonreel.core.config.Configuration;
import io.persimmonreel.core.config.ConfigurationException;
import io.persimmonreel.core.config.OperatorTextParser;
import io.persimmonreel.daemon.Daemon;
import io.persimmonreel.daemon.DaemonException;
import io.persimmonreel.daemon.settings.DaemonSettings;
import io.persimmonreel.daemon.settings.FleetSecret;
import io.persimmonreel.daemon.settings.LogFormat;
import io.persimmonreel.fakes.FakePlatform;
import io.persimmonreel.fakes.FakeUpstreams;
import io.persimmonreel.fakes.HostEntry;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.TimeUnit;

/** Runs daemons, fake upstreams and a fake platform in this process, on loopback addresses. */
final class DemoFleet implements AutoCloseable {
    private static final int SECRET_BYTES = 32;
    private static final Duration DRAIN_TIMEOUT = Duration.ofSeconds(20);
    private static final long READY_POLL_MILLIS = 50;

    private final Configuration mConfiguration;
    private final FakeUpstreams mUpstreams;
    private final FakePlatform mPlatform = new FakePlatform(0);
    private final Map<Integer, Daemon> mDaemons = new ConcurrentSkipListMap<>();
    private final Map<Integer, HostEntry> mHosts = new TreeMap<>();
    private final FleetSecret mSecret;
    private volatile Set<Integer> mIsolatedSlots = Set.of();

    private DemoFleet(final Configuration configuration) {
        final byte[] secret = new byte[SECRET_BYTES];
        new SecureRandom().nextBytes(secret);
        mSecret = new FleetSecret(secret);
        mConfiguration = configuration;
        mUpstreams = FakeUpstreams.onFreePorts(configuration);
    }

    /**
     * Starts a fleet with the embedded operator text.
     *
     * @param daemons the number of daemons
     * @return the fleet
     * @throws IOException if the text is invalid or a component can't start
     */
    static DemoFleet start(final int daemons) throws IOException {
        return start(daemons, DemoOperatorText.read(daemons));
    }

    /**
     * Starts a fleet with an operator text.
     *
     * @param daemons the number of daemons
     * @param text the operator text; its upstream addresses are replaced by free ones
     * @return the fleet
     * @throws IOException if the text is invalid or a component can't start
     */
    static DemoFleet start(final int daemons, final String text) throws IOException {
        final DemoFleet fleet;
        try {
            fleet = new DemoFleet(new OperatorTextParser().parse("saaf-paws.yaml", 1, text));
        } catch (final ConfigurationException e) {
            throw new IOException("demo: the operator text was rejected", e);
        }
        try {
            fleet.mUpstreams.start();
            fleet.mPlatform.publish(fleet.mUpstreams.replaceAddresses(text));
            fleet.mPlatform.start();
            for (int slot = 1; slot <= daemons; slot++) {
                fleet.startDaemon(slot);
            }
        } catch (final IOException | DaemonException e) {
            fleet.close();
            throw new IOException("demo: the fleet did not start: " + e.getMessage(), e);
        }
        return fleet;
    }

    Configuration configuration() {
        return mConfiguration;
    }

    FakeUpstreams upstreams() {
        return mUpstreams;
    }

    /** Returns the base URLs of all daemons' caller ports. */
    List<String> callerUrls() {
        return mDaemons.keySet().stream().map(this::callerUrl).toList();
    }

    /** Returns the base URL of one daemon's caller port. */
    String callerUrl(final int slot) {
        return "http://127.0.0.1:" + mDaemons.get(slot).callerPort();
    }

    FakePlatform platform() {
        return mPlatform;
    }

    /** Returns the published host list. */
    List<HostEntry> hosts() {
        return List.copyOf(mHosts.values());
    }

    /** Returns the running daemon in a slot, or null if there is none. */
    Daemon daemon(final int slot) {
        return mDaemons.get(slot);
    }

    /** Stops a daemon at once, as a crash of its process would. */
    void kill(final int slot) {
        mDaemons.remove(slot).close();
    }

    /** Partitions the given daemons from the others; an empty set ends the partition. */
    void partition(final Set<Integer> slots) {
        mIsolatedSlots = Set.copyOf(slots);
    }

    /** Returns the addresses of the daemons' operator ports. */
    List<String> operatorAddresses() {
        return mDaemons.values().stream().map(d -> "127.0.0.1:" + d.operatorPort()).toList();
    }

    /** Waits until all daemons are ready; returns what they still wait for, empty if ready. */
    List<String> awaitReady(final Duration timeout) throws InterruptedException {
        final long end = System.nanoTime() + timeout.toNanos();
        while (true) {
            final List<String> waiting =
                    mDaemons.values().stream()
                            .flatMap(d -> d.waitingFor().stream())
                            .distinct()
                            .toList();
            if (waiting.isEmpty() || System.nanoTime() - end > 0) {
                return waiting;
            }
            TimeUnit.MILLISECONDS.sleep(READY_POLL_MILLIS);
        }
    }

    /** Shuts the daemons down gracefully; returns false if a request did not end in time. */
    boolean stopDaemons() throws InterruptedException {
        boolean drained = true;
        for (final Daemon daemon : mDaemons.values()) {
            drained &= daemon.stop();
        }
        mDaemons.clear();
        return drained;
    }

    @Override
    public void close() {
        mDaemons.values().forEach(Daemon::close);
        mPlatform.stop();
        mUpstreams.stop();
    }

    /**
     * Starts the daemon of a slot; a restarted daemon has lost its memory, as a new process has.
     */
    void startDaemon(final int slot) throws DaemonException {
        final List<String> zones = mConfiguration.fleet().zones();
        final String zone = zones.get((slot - 1) % zones.size());
        final List<InetSocketAddress> peers =
                mDaemons.values().stream().map(Daemon::peerAddress).toList();
        final Daemon daemon =
                new Daemon(
                        settings(slot, zone, peers),
                        peer -> mIsolatedSlots.contains(slot) == mIsolatedSlots.contains(peer));
        mDaemons.put(slot, daemon);
        daemon.start();
        final InetSocketAddress peer = daemon.peerAddress();
        final String address = peer.getAddress().getHostAddress() + ":" + peer.getPort();
        mHosts.put(slot, new HostEntry(slot, address, zone, "live"));
        mPlatform.publishHosts(hosts());
    }

    private DaemonSettings settings(
            final int slot, final String zone, final List<InetSocketAddress> peers) {
        final InetSocketAddress anyFreePort =
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        return new DaemonSettings(
                anyFreePort,
                anyFreePort,
                anyFreePort,
                slot,
                zone,
                new InetSocketAddress(InetAddress.getLoopbackAddress(), mPlatform.port()),
                peers,
                mSecret,
                Optional.empty(),
                Optional.empty(),
                LogFormat.TEXT,
                DRAIN_TIMEOUT);
    }
}
