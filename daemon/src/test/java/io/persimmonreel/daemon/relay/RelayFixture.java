package io.persimmonreel.daemon.relay;

import io.persimmonreel.core.peer.DirectoryVersion;
import io.persimmonreel.core.quota.QuotaTolerance;
import io.persimmonreel.core.replica.ReplicaEntry;
import io.persimmonreel.core.route.CallerLimits;
import io.persimmonreel.core.route.EngineProfile;
import io.persimmonreel.core.route.RelayConfiguration;
import io.persimmonreel.core.route.RelayCustomer;
import io.persimmonreel.core.route.RelayUpstream;
import io.persimmonreel.core.route.ResendRule;
import io.persimmonreel.core.route.Route;
import io.persimmonreel.core.route.RouteTable;
import io.persimmonreel.core.time.TimeSource;
import io.persimmonreel.core.warmup.WarmUpBound;
import io.persimmonreel.daemon.directory.DirectoryException;
import io.persimmonreel.daemon.directory.DirectoryFormat;
import io.persimmonreel.daemon.directory.DirectorySource;
import io.persimmonreel.daemon.log.EventLog;
import io.persimmonreel.daemon.settings.FleetSecret;
import io.persimmonreel.daemon.time.SystemTimeSource;
import io.persimmonreel.daemon.upstream.ScriptedUpstream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/**
 * Runs a relay between a test and scripted replicas, with an in-memory directory.
 *
 * <p>Routes: /lookup/ is idempotent, /charge/ runs at most once, /draft/ is a resumable stream and
 * /notes/ is a stream that can't be resumed. All routes belong to the upstream "app".
 */
final class RelayFixture implements AutoCloseable {
    static final String KEY = "key-of-acme";
    static final String SECRET = "secret";
    private static final int WAIT_MILLIS = 5_000;

    private final List<ScriptedUpstream> mReplicas = new ArrayList<>();
    private final List<DirectorySource.Document> mDocuments = new CopyOnWriteArrayList<>();
    private final ByteArrayOutputStream mLog = new ByteArrayOutputStream();
    private final RelaySettings mSettings;
    private final RelayDaemon mDaemon;
    private final RelayConfiguration mConfiguration;

    RelayFixture(final int replicas) throws Exception {
        this(replicas, Duration.ofSeconds(8));
    }

    RelayFixture(final int replicas, final Duration grace) throws Exception {
        this(replicas, grace, configuration(1, 2, 0));
    }

    RelayFixture(final int replicas, final Duration grace, final RelayConfiguration configuration)
            throws Exception {
        this(replicas, grace, configuration, new NativeDialect());
    }

    RelayFixture(
            final int replicas,
            final Duration grace,
            final RelayConfiguration configuration,
            final RelayDialect dialect)
            throws Exception {
        this(replicas, grace, configuration, dialect, Optional.empty());
    }

    RelayFixture(
            final int replicas,
            final Duration grace,
            final RelayConfiguration configuration,
            final RelayDialect dialect,
            final Optional<WarmUpBound> warmUpBound)
            throws Exception {
        this(replicas, grace, configuration, dialect, warmUpBound, new SystemTimeSource());
    }

    /**
     * Starts a relay.
     *
     * @param configuration the configuration, or null if the directory has none
     */
    RelayFixture(
            final int replicas,
            final Duration grace,
            final RelayConfiguration configuration,
            final RelayDialect dialect,
            final Optional<WarmUpBound> warmUpBound,
            final TimeSource time)
            throws Exception {
        mConfiguration = configuration;
        if (configuration != null) {
            mDocuments.add(document("config", ""));
        }
        for (int i = 0; i < replicas; i++) {
            final ScriptedUpstream replica = new ScriptedUpstream(true);
            mReplicas.add(replica);
            mDocuments.add(document("replica/r" + i, "127.0.0.1:" + replica.port()));
        }
        mSettings = settings(grace, warmUpBound);
        mDaemon =
                new RelayDaemon(
                        mSettings,
                        new FleetSecret(SECRET.getBytes(StandardCharsets.UTF_8)),
                        dialect,
                        new MemoryFormat(),
                        (loop, address, responseTimeout) -> new MemorySource(),
                        time,
                        new EventLog("test", time, new PrintStream(mLog, true)));
        mDaemon.start();
        if (replicas > 0) {
            await(this::isReady);
        }
    }

    /** Evacuates the zone of all replicas, and waits until the relay knows it. */
    void evacuate() throws InterruptedException {
        mDocuments.add(document("evacuate/zone", "{}"));
        await(() -> log().contains("\"event\":\"evacuated\""));
    }

    /** Ends the evacuation, and waits until the relay knows it. */
    void takeBack() throws InterruptedException {
        mDocuments.add(new DirectorySource.Document("evacuate/zone", Optional.empty()));
        await(() -> log().contains("\"event\":\"taken-back\""));
    }

    /** Adds a replica at a port, and waits until the relay knows it. */
    void addReplica(final String id, final int port) throws InterruptedException {
        mDocuments.add(document("replica/" + id, "127.0.0.1:" + port));
        await(this::isReady);
    }

    ScriptedUpstream replica(final int index) {
        return mReplicas.get(index);
    }

    RelayDaemon daemon() {
        return mDaemon;
    }

    InetSocketAddress peerAddress() {
        return mSettings.peerAddress();
    }

    String log() {
        return mLog.toString(StandardCharsets.UTF_8);
    }

    /**
     * Sends a request on a new connection and returns everything received until the connection
     * closes.
     */
    String request(final String method, final String path, final String headers, final String body)
            throws IOException {
        try (Socket socket = connect()) {
            send(socket, method, path, headers + "Connection: close\r\n", body);
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        }
    }

    Socket connect() throws IOException {
        final Socket socket =
                new Socket(InetAddress.getLoopbackAddress(), mDaemon.callerAddress().getPort());
        socket.setSoTimeout(WAIT_MILLIS);
        return socket;
    }

    static void send(
            final Socket socket,
            final String method,
            final String path,
            final String headers,
            final String body)
            throws IOException {
        final String head =
                method
                        + " "
                        + path
                        + " HTTP/1.1\r\nHost: acme.example\r\nAuthorization: Bearer "
                        + KEY
                        + "\r\n"
                        + headers
                        + (body.isEmpty() ? "" : "Content-Length: " + body.length() + "\r\n")
                        + "\r\n";
        socket.getOutputStream().write((head + body).getBytes(StandardCharsets.UTF_8));
        socket.getOutputStream().flush();
    }

    /** Reads until the received text contains an expected part. */
    static String readUntil(final Socket socket, final String part) throws IOException {
        final StringBuilder text = new StringBuilder();
        final InputStream in = socket.getInputStream();
        while (text.indexOf(part) < 0) {
            final int next = in.read();
            if (next < 0) {
                throw new IOException("ended after: " + text);
            }
            text.append((char) next);
        }
        return text.toString();
    }

    static void await(final BooleanSupplier condition) throws InterruptedException {
        final long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(WAIT_MILLIS);
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() - end > 0) {
                throw new AssertionError("the condition did not come true");
            }
            TimeUnit.MILLISECONDS.sleep(5);
        }
    }

    @Override
    public void close() throws IOException {
        mDaemon.close();
        for (final ScriptedUpstream replica : mReplicas) {
            replica.close();
        }
    }

    static RelayConfiguration configuration(
            final long version, final int attempts, final double ratePerSecond) {
        return configuration(version, attempts, ratePerSecond, Optional.empty());
    }

    static RelayConfiguration configuration(
            final long version,
            final int attempts,
            final double ratePerSecond,
            final Optional<EngineProfile> engine) {
        return configuration(version, attempts, ratePerSecond, new RelayUpstream("app", engine));
    }

    static RelayConfiguration configuration(
            final long version,
            final int attempts,
            final double ratePerSecond,
            final RelayUpstream upstream) {
        final List<Route> routes = new ArrayList<>();
        routes.add(route("/lookup/", ResendRule.IDEMPOTENT, attempts));
        routes.add(route("/charge/", ResendRule.AT_MOST_ONCE, attempts));
        routes.add(route("/draft/", ResendRule.RESUMABLE_STREAM, attempts));
        routes.add(route("/notes/", ResendRule.STREAM, attempts));
        return new RelayConfiguration(
                version,
                new RouteTable(routes),
                List.of(upstream),
                new CallerLimits(4_096, 65_536, 1_000, 2_000),
                List.of(
                        new RelayCustomer(
                                "acme",
                                List.of(KEY),
                                OptionalInt.empty(),
                                ratePerSecond,
                                ratePerSecond,
                                false,
                                1)));
    }

    private static Route route(
            final String prefix, final ResendRule resendRule, final int attempts) {
        return new Route(
                prefix,
                "acme.example",
                prefix,
                resendRule,
                3_000,
                400,
                300,
                2_400,
                0,
                List.of(new Route.WeightedUpstream("app", 1)),
                attempts,
                false,
                false);
    }

    private boolean isReady() {
        try (Socket socket =
                new Socket(
                        InetAddress.getLoopbackAddress(), mDaemon.readinessAddress().getPort())) {
            socket.setSoTimeout(WAIT_MILLIS);
            socket.getOutputStream()
                    .write(
                            "GET /readyz HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
                                    .getBytes(StandardCharsets.UTF_8));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8)
                    .startsWith("HTTP/1.1 200");
        } catch (final IOException e) {
            return false;
        }
    }

    /**
     * Returns a loopback address that no other process uses, so that a free port stays free until
     * the relay binds it.
     */
    private static InetAddress ownLoopbackAddress() throws IOException {
        final long pid = ProcessHandle.current().pid();
        return InetAddress.getByAddress(
                new byte[] {127, (byte) (1 + pid / 65_536), (byte) (pid / 256), (byte) pid});
    }

    private static RelaySettings settings(
            final Duration grace, final Optional<WarmUpBound> warmUpBound) throws IOException {
        final InetSocketAddress anyPort =
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        final InetAddress ownAddress = ownLoopbackAddress();
        final InetSocketAddress peer;
        try (ServerSocket probe = new ServerSocket(0, 1, ownAddress)) {
            peer = new InetSocketAddress(ownAddress, probe.getLocalPort());
        }
        return new RelaySettings(
                "test",
                "zone",
                anyPort,
                anyPort,
                peer,
                anyPort,
                List.of(),
                true,
                anyPort,
                grace,
                Duration.ofSeconds(2),
                Duration.ofSeconds(3),
                1.0,
                50,
                QuotaTolerance.NONE,
                HeldLimits.STANDARD,
                warmUpBound,
                Optional.empty(),
                Optional.empty());
    }

    private static DirectorySource.Document document(final String name, final String content) {
        return new DirectorySource.Document(
                name, Optional.of(content.getBytes(StandardCharsets.UTF_8)));
    }

    /** Serves a fixed list of documents. */
    private final class MemorySource implements DirectorySource {
        @Override
        public void readAll(final Listener listener) {
            listener.onDocuments(new DirectoryVersion(0, 1), mDocuments);
        }

        @Override
        public void watch(
                final long afterRevision, final long waitMillis, final Listener listener) {
            listener.onDocuments(new DirectoryVersion(0, afterRevision), mDocuments);
        }

        @Override
        public void readHistory(final long revision, final Listener listener) {
            listener.onFailure("no history");
        }

        @Override
        public void readVersion(final Listener listener) {
            listener.onDocuments(new DirectoryVersion(0, 1), List.of());
        }
    }

    /** Decodes replica documents and returns the configuration of the fixture. */
    private final class MemoryFormat implements DirectoryFormat {
        @Override
        public boolean isConfiguration(final String name) {
            return name.equals("config");
        }

        @Override
        public boolean isReplica(final String name) {
            return name.startsWith("replica/");
        }

        @Override
        public Optional<String> evacuatedZone(final String name) {
            return name.startsWith("evacuate/")
                    ? Optional.of(name.substring("evacuate/".length()))
                    : Optional.empty();
        }

        @Override
        public RelayConfiguration readConfiguration(final String name, final byte[] content) {
            return mConfiguration;
        }

        @Override
        public ReplicaEntry readReplica(final String name, final byte[] content)
                throws DirectoryException {
            final String address = new String(content, StandardCharsets.UTF_8);
            return new ReplicaEntry(
                    name.substring("replica/".length()),
                    "app",
                    "127.0.0.1",
                    Integer.parseInt(address.substring(address.indexOf(':') + 1)),
                    "zone",
                    4,
                    false,
                    1);
        }
    }
}
