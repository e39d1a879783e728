import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/** A small deployment: the store, some relays and the entries of the replicas. */
final class Deployment implements AutoCloseable {
    static final String HOST = "kiosk.example";

    private final Path mFolder;
    private final Store mStore;
    private final List<Relay> mRelays = new ArrayList<>();

    Deployment(final int relays) throws IOException {
        mFolder = Files.createTempDirectory("review");
        mStore = new Store();
        for (int i = 0; i < relays; i++) {
            mRelays.add(new Relay("edge-" + (i + 1), mFolder));
        }
    }

    Store store() {
        return mStore;
    }

    Relay relay(final int index) {
        return mRelays.get(index);
    }

    /** Writes the configuration; {@code routes} and {@code tenants} are JSON lists. */
    void configure(
            final int version, final String routes, final String backends, final String tenants) {
        mStore.put(
                "op/config",
                "{\"version\":" + version + ",\"routes\":" + routes + ",\"backends\":" + backends
                        + ",\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304"
                        + ",\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}"
                        + ",\"tenants\":" + tenants + "}");
    }

    static String route(
            final String name,
            final String prefix,
            final String type,
            final int timeoutMillis,
            final int aimMillis,
            final String backend,
            final int attempts) {
        return "{\"name\":" + Json.text(name) + ",\"hostname\":\"" + HOST + "\",\"prefix\":"
                + Json.text(prefix) + ",\"route_type\":" + Json.text(type) + ",\"timeout_ms\":"
                + timeoutMillis + ",\"target_latency_ms\":" + aimMillis
                + ",\"priority\":1,\"backend\":" + Json.text(backend) + ",\"max_attempts\":"
                + attempts + ",\"public\":true,\"session_affinity\":false"
                + ",\"stream_resume\":false}";
    }

    static String backend(final String name) {
        return "{\"name\":" + Json.text(name)
                + ",\"health_check\":\"/healthz\",\"max_connections\":96,\"protocol\":\"h1\""
                + ",\"upstream_tls\":false}";
    }

    static String engine(final String name) {
        final String plain = backend(name);
        return plain.substring(0, plain.length() - 1)
                + ",\"runtime\":{\"max_concurrency\":10,\"kv_capacity\":585711,\"interval\":6}}";
    }

    void register(final String id, final String backend, final int port, final int slots) {
        mStore.put(
                "servers/" + id,
                "{\"backend\":" + Json.text(backend) + ",\"address\":\"127.0.0.1:" + port
                        + "\",\"zone\":\"zone-a\",\"version\":\"v1\",\"max_concurrency\":" + slots
                        + ",\"phase\":\"ready\",\"warmup_left_ms\":0,\"seq\":1}");
    }

    /** Starts all relays and waits until they are ready. */
    boolean start() throws IOException, InterruptedException {
        final List<String> seeds = new ArrayList<>();
        mRelays.forEach(relay -> seeds.add(relay.peerAddress()));
        for (final Relay relay : mRelays) {
            relay.start(mStore.address(), seeds);
        }
        for (final Relay relay : mRelays) {
            if (!relay.awaitReady(20_000)) {
                return false;
            }
        }
        return true;
    }

    @Override
    public void close() {
        mRelays.forEach(Relay::close);
        mStore.close();
        try (Stream<Path> files = Files.walk(mFolder)) {
            files.sorted(Comparator.reverseOrder()).forEach(path -> path.toFile().delete());
        } catch (final IOException e) {
            System.err.println("could not remove the temporary folder: " + e);
        }
    }
}
