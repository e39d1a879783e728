import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Stand-ins for the platform's store, for replicas and for clients, and the relay as a process of
 * its own. All addresses are loopback addresses.
 */
final class Lab implements AutoCloseable {
    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int COULD_NOT_RUN = 2;

    /** The variable with value 0 that asks for a run without the disruption. */
    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));

    private static final String HOST = "lab.example";
    private static final int START_MILLIS = 30_000;

    private final long mStartNanos = System.nanoTime();
    private final Path mRoot;
    private final Path mTemporary;
    private final PrintWriter mRecord;
    private final List<AutoCloseable> mParts = new CopyOnWriteArrayList<>();
    final Store mStore;

    Lab() throws IOException {
        mRoot = Path.of("").toAbsolutePath();
        mTemporary = Files.createTempDirectory("review");
        mRecord =
                new PrintWriter(Files.newBufferedWriter(Path.of(System.getenv("RECORD"))), true);
        mStore = new Store();
        mParts.add(mStore);
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
    }

    /** Writes one line to the record of the run. */
    void record(final String format, final Object... arguments) {
        final long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - mStartNanos);
        synchronized (mRecord) {
            mRecord.printf("%7d ms  %s%n", millis, String.format(format, arguments));
        }
    }

    static void sleep(final long millis) {
        try {
            Thread.sleep(millis);
        } catch (final InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    static void daemon(final Runnable task) {
        final Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
    }

    /** Returns a route of the configuration, for the public or for all customers. */
    static String route(
            final String name,
            final String type,
            final String upstream,
            final boolean resume,
            final int timeoutMillis,
            final int attempts,
            final boolean open) {
        return String.format(
                "{\"name\":\"%s\",\"hostname\":\"" + HOST + "\",\"prefix\":\"/%s/\","
                        + "\"route_type\":\"%s\",\"timeout_ms\":%d,\"target_latency_ms\":400,"
                        + "\"priority\":1,\"backend\":\"%s\",\"max_attempts\":%d,\"public\":%b,"
                        + "\"session_affinity\":false,\"stream_resume\":%b,\"itl_target_ms\":300}",
                name, name, type, timeoutMillis, upstream, attempts, open, resume);
    }

    /** Stores a configuration with the limits of the users' pages. */
    void configure(
            final int version,
            final List<String> upstreams,
            final List<String> routes,
            final String tenants) {
        final List<String> backends = new ArrayList<>();
        for (final String upstream : upstreams) {
            backends.add(
                    "{\"name\":\"" + upstream + "\",\"health_check\":\"/healthz\","
                            + "\"max_connections\":230,\"protocol\":\"h1\","
                            + "\"upstream_tls\":false}");
        }
        mStore.put(
                "op/config",
                "{\"version\":" + version + ",\"routes\":[" + String.join(",", routes)
                        + "],\"backends\":[" + String.join(",", backends)
                        + "],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
                        + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},\"tenants\":["
                        + tenants + "]}");
        record("operator: configuration %d acknowledged", version);
    }

    Replica replica(
            final String id,
            final String upstream,
            final String version,
            final int slots,
            final Handler handler)
            throws IOException {
        final Replica replica = new Replica(id, upstream, version, slots, handler);
        mParts.add(replica);
        return replica;
    }

    Relay relay(final String name, final String ip, final List<String> ips, final boolean first)
            throws IOException {
        final Relay relay = new Relay(name, ip, ips, first);
        mParts.add(relay);
        return relay;
    }

    /** Returns a loopback network of its own, in which the ports of the relay are free. */
    static String freeNetwork(final int hosts) throws IOException {
        for (int i = 0; i < 200; i++) {
            final String prefix = "127." + (40 + (int) (Math.random() * 160)) + "."
                    + (1 + (int) (Math.random() * 250)) + ".";
            boolean free = true;
            for (int host = 1; host <= hosts && free; host++) {
                for (final int port : Relay.PORTS) {
                    try (ServerSocket probe =
                            new ServerSocket(port, 1, InetAddress.getByName(prefix + host))) {
                        continue;
                    } catch (final IOException e) {
                        free = false;
                        break;
                    }
                }
            }
            if (free) {
                return prefix;
            }
        }
        throw new IOException("no free loopback network");
    }

    @Override
    public void close() {
        for (final AutoCloseable part : mParts) {
            try {
                part.close();
            } catch (final Exception e) {
                record("could not close: %s", e);
            }
        }
        mParts.clear();
        try (var files = Files.walk(mTemporary)) {
            files.sorted((a, b) -> b.compareTo(a)).forEach(f -> f.toFile().delete());
        } catch (final IOException e) {
            // The folder was deleted before.
        }
    }

    /** A request as a replica reads it. */
    static final class Request {
        String mMethod;
        String mTarget;
        final Map<String, String> mHeaders = new LinkedHashMap<>();
        byte[] mBody = new byte[0];

        String id() {
            return mHeaders.getOrDefault("attempt-id", "");
        }

        String header(final String name) {
            return mHeaders.get(name);
        }
    }

    /** Answers a request at a replica; returns whether the connection stays open. */
    interface Handler {
        boolean serve(Replica replica, Request request, InputStream in, OutputStream out)
                throws IOException;
    }

    static String readLine(final InputStream in) throws IOException {
        final ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int c = in.read(); c != '\n'; c = in.read()) {
            if (c < 0) {
                throw new EOFException("the connection was closed");
            }
            if (c != '\r') {
                line.write(c);
            }
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    static void readHeaders(final InputStream in, final Map<String, String> headers)
            throws IOException {
        for (String line = readLine(in); !line.isEmpty(); line = readLine(in)) {
            final int colon = line.indexOf(':');
            headers.put(
                    line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).trim());
        }
    }

    static byte[] readBody(final InputStream in, final Map<String, String> headers)
            throws IOException {
        if ("chunked".equalsIgnoreCase(headers.get("transfer-encoding"))) {
            final ByteArrayOutputStream body = new ByteArrayOutputStream();
            int size = Integer.parseInt(readLine(in).trim(), 16);
            while (size > 0) {
                body.write(readFully(in, size));
                readLine(in);
                size = Integer.parseInt(readLine(in).trim(), 16);
            }
            readLine(in);
            return body.toByteArray();
        }
        return readFully(in, Integer.parseInt(headers.getOrDefault("content-length", "0")));
    }

    static byte[] readFully(final InputStream in, final int size) throws IOException {
        final byte[] bytes = in.readNBytes(size);
        if (bytes.length < size) {
            throw new EOFException("the body ended early");
        }
        return bytes;
    }

    static byte[] ascii(final String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    /** Returns a whole answer with a length, the attempt id and a signature. */
    static byte[] answer(final Request request, final String body) {
        return ascii(
                "HTTP/1.1 200 OK\r\nAttempt-Id: " + request.id() + "\r\nReplica-Signature: sig."
                        + request.id() + "\r\nKeep-Alive: timeout=5\r\nContent-Length: "
                        + body.length() + "\r\n\r\n" + body);
    }

    /** One replica, which serves one request at a time on a connection. */
    final class Replica implements AutoCloseable {
        final String mId;
        final String mUpstream;
        private final String mVersion;
        private final int mSlots;
        private final Handler mHandler;
        private final long mBorn = System.currentTimeMillis();
        private final ServerSocket mListener;
        private final List<Socket> mSockets = new CopyOnWriteArrayList<>();
        private int mSeq;

        Replica(
                final String id,
                final String upstream,
                final String version,
                final int slots,
                final Handler handler)
                throws IOException {
            mId = id;
            mUpstream = upstream;
            mVersion = version;
            mSlots = slots;
            mHandler = handler;
            mListener = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
            daemon(this::accept);
        }

        int port() {
            return mListener.getLocalPort();
        }

        void announce(final String phase) {
            mStore.put(
                    "servers/" + mId,
                    String.format(
                            "{\"backend\":\"%s\",\"address\":\"127.0.0.1:%d\","
                                    + "\"zone\":\"pk-central-a\",\"version\":\"%s\","
                                    + "\"max_concurrency\":%d,\"phase\":\"%s\","
                                    + "\"warmup_left_ms\":0,\"seq\":%d,\"born\":%d}",
                            mUpstream, port(), mVersion, mSlots, phase, ++mSeq, mBorn));
            record("store: entry of %s is %s, version %s", mId, phase, mVersion);
        }

        void withdraw() {
            mStore.delete("servers/" + mId);
            record("store: entry of %s removed", mId);
        }

        private void accept() {
            while (!mListener.isClosed()) {
                try {
                    final Socket socket = mListener.accept();
                    socket.setTcpNoDelay(true);
                    mSockets.add(socket);
                    daemon(() -> serve(socket));
                } catch (final IOException e) {
                    return;
                }
            }
        }

        private void serve(final Socket socket) {
            try (socket) {
                final InputStream in = new BufferedInputStream(socket.getInputStream());
                boolean open = true;
                while (open) {
                    final Request request = new Request();
                    final String[] line = readLine(in).split(" ");
                    request.mMethod = line[0];
                    request.mTarget = line[1];
                    readHeaders(in, request.mHeaders);
                    open = serve(request, in, socket.getOutputStream());
                }
            } catch (final IOException e) {
                // The connection has ended.
            } finally {
                mSockets.remove(socket);
            }
        }

        private boolean serve(final Request request, final InputStream in, final OutputStream out)
                throws IOException {
            final String expected = request.header("expected-replica");
            if (expected != null && !expected.equals(mId)) {
                readBody(in, request.mHeaders);
                out.write(ascii("HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: " + request.id()
                        + "\r\nReplica-Id: " + mId + "\r\nContent-Length: 0\r\n\r\n"));
                return true;
            }
            return mHandler.serve(this, request, in, out);
        }

        /** Ends as a killed process does: its connections are reset and its port is closed. */
        void crash() throws IOException {
            mListener.close();
            for (final Socket socket : mSockets) {
                socket.setSoLinger(true, 0);
                socket.close();
            }
            record("replica %s: crashed", mId);
        }

        @Override
        public void close() throws IOException {
            mListener.close();
            for (final Socket socket : mSockets) {
                socket.close();
            }
        }
    }

    /** The store: keys with a history of changes. */
    static final class Store implements AutoCloseable {
        private final HttpServer mServer;
        private final TreeMap<String, String> mItems = new TreeMap<>();
        private final TreeMap<String, Long> mRevisions = new TreeMap<>();
        private final List<String[]> mHistory = new ArrayList<>();
        private long mRevision = 100;
        private volatile boolean mDown;

        Store() throws IOException {
            mServer =
                    HttpServer.create(
                            new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 0);
            mServer.setExecutor(
                    Executors.newCachedThreadPool(
                            task -> {
                                final Thread thread = new Thread(task);
                                thread.setDaemon(true);
                                return thread;
                            }));
            mServer.createContext("/", this::serve);
            mServer.start();
        }

        String address() {
            return "127.0.0.1:" + mServer.getAddress().getPort();
        }

        synchronized void put(final String key, final String value) {
            mRevision++;
            mItems.put(key, value);
            mRevisions.put(key, mRevision);
            mHistory.add(new String[] {key, Long.toString(mRevision), value});
            notifyAll();
        }

        synchronized void delete(final String key) {
            if (mItems.remove(key) != null) {
                mRevision++;
                mHistory.add(new String[] {key, Long.toString(mRevision), null});
                notifyAll();
            }
        }

        /** Sets whether the store answers 503 to all calls. */
        void setDown(final boolean down) {
            mDown = down;
        }

        @Override
        public void close() {
            mServer.stop(0);
        }

        private static String item(final String key, final String revision, final String value) {
            return value == null
                    ? "{\"key\":\"" + key + "\",\"revision\":" + revision + ",\"deleted\":true}"
                    : "{\"key\":\"" + key + "\",\"revision\":" + revision + ",\"created\":"
                            + revision + ",\"lease_id\":0,\"data\":\""
                            + Base64.getEncoder()
                                    .encodeToString(value.getBytes(StandardCharsets.UTF_8))
                            + "\"}";
        }

        private void serve(final HttpExchange exchange) throws IOException {
            final Map<String, String> query = new HashMap<>();
            final String raw = exchange.getRequestURI().getRawQuery();
            for (final String pair : raw == null ? new String[0] : raw.split("&")) {
                final int equals = pair.indexOf('=');
                query.put(
                        pair.substring(0, equals),
                        URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
            }
            int status = 200;
            String body = "{}";
            if (!mDown) {
                switch (exchange.getRequestURI().getPath()) {
                    case "/kv-key":
                        body = key(query.get("key"));
                        break;
                    case "/kv-range":
                        body = range(query.get("prefix"), query.get("after"));
                        break;
                    case "/kv-watch":
                        body =
                                watch(
                                        query.getOrDefault("prefix", ""),
                                        Long.parseLong(query.get("after")),
                                        Long.parseLong(query.get("wait_ms")));
                        break;
                    default:
                        body = null;
                }
                status = body == null ? 404 : 200;
            }
            if (mDown) {
                status = 503;
                body = "{}";
            }
            final byte[] bytes = (body == null ? "{}" : body).getBytes(StandardCharsets.UTF_8);
            exchange.getResponseHeaders().set("Content-Type", "application/json");
            exchange.sendResponseHeaders(status, bytes.length);
            exchange.getResponseBody().write(bytes);
            exchange.close();
        }

        private synchronized String key(final String key) {
            final String value = mItems.get(key);
            return value == null
                    ? null
                    : item(key, mRevisions.get(key).toString(), value).replaceFirst(
                            "}$", ",\"at\":" + mRevision + "}");
        }

        private synchronized String range(final String prefix, final String after) {
            final List<String> entries = new ArrayList<>();
            mItems.forEach(
                    (key, value) -> {
                        if (key.startsWith(prefix) && (after == null || key.compareTo(after) > 0)) {
                            entries.add(item(key, mRevisions.get(key).toString(), value));
                        }
                    });
            return "{\"entries\":[" + String.join(",", entries) + "],\"truncated\":false,\"at\":"
                    + mRevision + "}";
        }

        private synchronized String watch(
                final String prefix, final long after, final long waitMillis) {
            final long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(waitMillis);
            while (true) {
                final List<String> events = new ArrayList<>();
                for (final String[] change : mHistory) {
                    if (Long.parseLong(change[1]) > after && change[0].startsWith(prefix)) {
                        events.add(item(change[0], change[1], change[2]));
                    }
                }
                final long left = TimeUnit.NANOSECONDS.toMillis(end - System.nanoTime());
                if (!events.isEmpty() || left <= 0) {
                    return "{\"events\":[" + String.join(",", events) + "],\"at\":" + mRevision
                            + "}";
                }
                try {
                    wait(left);
                } catch (final InterruptedException e) {
                    Thread.currentThread().interrupt();
                    return null;
                }
            }
        }
    }

    /** The relay, started by the command of the deploy file. */
    final class Relay implements AutoCloseable {
        static final int CALLER_PORT = 8221;
        static final int READINESS_PORT = 8224;
        static final int PEER_PORT = 8229;
        static final int[] PORTS = {CALLER_PORT, READINESS_PORT, PEER_PORT, 9464};

        final String mName;
        final String mIp;
        private final Path mSettings;
        private final Path mLog;
        private final Map<String, String> mValues;
        private Process mProcess;

        Relay(final String name, final String ip, final List<String> ips, final boolean first)
                throws IOException {
            mName = name;
            mIp = ip;
            mSettings = mTemporary.resolve(name + ".json");
            mLog = mTemporary.resolve(name + ".log");
            final Map<String, String> values = new HashMap<>();
            values.put("node_name", "\"" + name + "\"");
            values.put("zone", "\"pk-central-a\"");
            values.put("listen.frontend", "\"" + ip + ":" + CALLER_PORT + "\"");
            values.put("listen.readiness", "\"" + ip + ":" + READINESS_PORT + "\"");
            values.put("listen.admin", "\"" + ip + ":" + PEER_PORT + "\"");
            values.put("ip", ip);
            final List<String> seeds = new ArrayList<>();
            ips.stream().limit(3).forEach(seed -> seeds.add("\"" + seed + ":" + PEER_PORT + "\""));
            values.put("seed_nodes", "[" + String.join(",", seeds) + "]");
            values.put("bootstrap", Boolean.toString(first));
            values.put("platform.address", "\"" + mStore.address() + "\"");
            values.put("slo_bounds.grace_s", "8");
            values.put("slo_bounds.drain_ms", "2000");
            values.put("slo_bounds.propagation_ms", "2000");
            values.put("slo_bounds.stable_ms", "3000");
            values.put("slo_bounds.retry_ratio", "0.2");
            values.put("slo_bounds.budget_slack", "52");
            values.put("slo_bounds.quota_overshoot", "0.25");
            values.put("slo_bounds.quota_tolerance", "140000");
            values.put("slo_bounds.quota_window_s", "8");
            mValues = values;
        }

        private String render(final Map<String, String> values) throws IOException {
            String text = Files.readString(mRoot.resolve("deploy/settings.json"));
            text = Pattern.compile("\\{\\{#([a-z_.]+)}}.*?\\{\\{/\\1}}", Pattern.DOTALL)
                    .matcher(text)
                    .replaceAll("");
            final Matcher field = Pattern.compile("\\{\\{([a-z_.]+)(\\|json)?}}").matcher(text);
            return field.replaceAll(f -> Matcher.quoteReplacement(values.get(f.group(1))));
        }

        private String deployField(final String pattern) throws IOException {
            final Matcher matcher =
                    Pattern.compile(pattern)
                            .matcher(Files.readString(mRoot.resolve("deploy/system.toml")));
            if (!matcher.find()) {
                throw new IOException("the deploy file has no " + pattern);
            }
            return matcher.group(1);
        }

        synchronized void start() throws IOException {
            Files.writeString(mSettings, render(mValues));
            // Only the first start of the whole system is a bootstrap.
            mValues.put("bootstrap", "false");
            final List<String> command =
                    new ArrayList<>(List.of(deployField("run = \"([^\"]+)\"").split(" ")));
            final String home = System.getProperty("java.home");
            command.set(0, Path.of(home, "bin", command.get(0)).toString());
            final ProcessBuilder builder = new ProcessBuilder(command).directory(mRoot.toFile());
            builder.environment().put("PERSIMMONREEL_SETTINGS", mSettings.toString());
            builder.environment()
                    .put(
                            "PERSIMMONREEL_FLEET_SECRET",
                            deployField("PERSIMMONREEL_FLEET_SECRET = \"([^\"]+)\""));
            builder.redirectErrorStream(true);
            builder.redirectOutput(ProcessBuilder.Redirect.appendTo(mLog.toFile()));
            mProcess = builder.start();
            record("relay %s: started, pid %d", mName, mProcess.pid());
        }

        /** Waits until the relay says that it is ready. */
        void awaitReady() throws IOException {
            final long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(START_MILLIS);
            while (System.nanoTime() - end < 0) {
                if (isReady()) {
                    record("relay %s: ready", mName);
                    return;
                }
                sleep(50);
            }
            throw new IOException(mName + " is not ready");
        }

        boolean isReady() {
            try (Socket socket = new Socket()) {
                socket.connect(new InetSocketAddress(mIp, READINESS_PORT), 500);
                socket.setSoTimeout(1_000);
                socket.getOutputStream()
                        .write(ascii("GET /readyz HTTP/1.1\r\nHost: r\r\n"
                                + "Connection: close\r\n\r\n"));
                return readLine(socket.getInputStream()).startsWith("HTTP/1.1 200");
            } catch (final IOException e) {
                return false;
            }
        }

        Socket connect() throws IOException {
            final Socket socket = new Socket();
            socket.setTcpNoDelay(true);
            socket.connect(new InetSocketAddress(mIp, CALLER_PORT), 1_000);
            return socket;
        }

        boolean isAlive() {
            return mProcess.isAlive();
        }

        int exitCode() {
            return mProcess.exitValue();
        }

        void signal(final String signal) throws IOException {
            record("relay %s: signal %s", mName, signal);
            try {
                new ProcessBuilder("kill", "-" + signal, Long.toString(mProcess.pid()))
                        .start()
                        .waitFor();
            } catch (final InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }

        boolean awaitEnd(final long millis) {
            try {
                return mProcess.waitFor(millis, TimeUnit.MILLISECONDS);
            } catch (final InterruptedException e) {
                Thread.currentThread().interrupt();
                return false;
            }
        }

        String log() throws IOException {
            return Files.readString(mLog);
        }

        @Override
        public void close() {
            if (mProcess != null && mProcess.isAlive()) {
                mProcess.destroyForcibly();
                awaitEnd(5_000);
            }
            final String keep = System.getenv("KEEP_LOG");
            if (keep != null) {
                try {
                    Files.copy(
                            mLog,
                            Path.of(keep + "-" + mName + ".log"),
                            java.nio.file.StandardCopyOption.REPLACE_EXISTING);
                } catch (final IOException e) {
                    record("log of %s lost: %s", mName, e);
                }
            }
        }
    }

    /** An answer as a client reads it. */
    static final class Answer {
        int mStatus;
        final Map<String, String> mHeaders = new LinkedHashMap<>();
        byte[] mBody = new byte[0];

        String text() {
            return new String(mBody, StandardCharsets.ISO_8859_1);
        }
    }

    /** Returns the head of a request. */
    static String head(
            final String method, final String path, final String id, final String further) {
        return method + " " + path + " HTTP/1.1\r\nHost: " + HOST + "\r\nAttempt-Id: " + id
                + "\r\n" + further + "\r\n";
    }

    /** Reads a whole answer; an answer that is not complete ends with an exception. */
    static Answer readAnswer(final InputStream in) throws IOException {
        final Answer answer = new Answer();
        answer.mStatus = Integer.parseInt(readLine(in).split(" ")[1]);
        readHeaders(in, answer.mHeaders);
        answer.mBody = readBody(in, answer.mHeaders);
        return answer;
    }
}
