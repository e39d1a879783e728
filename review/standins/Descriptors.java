import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Users come at the usual rate, then in three bursts, and keep their connections until the relay closes
 * them as idle. For a moment the relay has no descriptor left, and the store is down meanwhile. When all
 * that is over, the configuration changes.
 */
public final class Descriptors {
    private static final double USERS_PER_SECOND = 166.8;
    private static final double BURST_FACTOR = 2.1;
    private static final int USUAL_MILLIS = 10_000;
    private static final int BURSTS = 3;
    private static final int BURST_MILLIS = 5_000;
    private static final int PAUSE_MILLIS = 500;
    private static final int OUTAGE_AT_MILLIS = 20_000;
    private static final int STEP_MILLIS = 100;
    private static final int ANSWERS_MILLIS = 4_000;
    private static final int OUTAGE_MILLIS = 4_500;
    private static final int IN_TOUCH_MILLIS = 3_000;
    private static final int PROPAGATION_MILLIS = 2_000;
    private static final int ROUNDS = 2;
    private static final int PROBES = 10;

    private Descriptors() {}

    public static void main(final String[] arguments) throws Exception {
        final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int stale = 0;
        try (Record record = new Record(Path.of(arguments[0]));
                Deployment deployment = new Deployment(1)) {
            final String oldRoute = Deployment.route("old", "/old/", "non_idempotent", 1_200, 150, "api", 1);
            final String newRoute = Deployment.route("new", "/new/", "non_idempotent", 1_200, 150, "api", 1);
            final String backends = "[" + Deployment.backend("api") + "]";
            deployment.configure(1, "[" + oldRoute + "]", backends, "[]");
            for (int i = 0; i < 4; i++) {
                deployment.register("p-" + i, "api", new SoundReplica("p-" + i, 43, record).port(), 6);
            }
            if (!deployment.start()) {
                record.line("the relay did not get ready");
                System.exit(2);
            }
            final Relay relay = deployment.relay(0);
            final int port = relay.callerPort();
            for (int round = 0; round < ROUNDS; round++) {
                users("u" + round + "-", port, trouble, deployment.store(), record);
            }
            Thread.sleep(IN_TOUCH_MILLIS);
            deployment.configure(2, "[" + newRoute + "]", backends, "[]");
            record.line("version 2 is acknowledged: the route /old/ is replaced by /new/");
            Thread.sleep(2 * PROPAGATION_MILLIS);
            for (int i = 0; i < PROBES; i++) {
                stale += probe(port, "/old/charge", "o" + i, 200, record);
                stale += probe(port, "/new/charge", "n" + i, 404, record);
                Thread.sleep(100);
            }
            record.line(
                    "%d of %d requests were handled as only version 1 allows, from %d ms after the"
                            + " acknowledgement of version 2 on",
                    stale, 2 * PROBES, 2 * PROPAGATION_MILLIS);
            record.line("the relay is alive: %s, ready: %s", relay.isAlive(), relay.isReady());
            if (System.getenv("KEEP") != null) {
                System.out.println(relay.output());
            }
        }
        System.exit(stale > 0 ? 1 : 0);
    }

    /** Sends a request of each user on a connection of its own, which stays open. */
    private static void users(
            final String prefix,
            final int port,
            final boolean trouble,
            final Store store,
            final Record record)
            throws IOException, InterruptedException {
        final List<Client> open = new ArrayList<>();
        final Map<String, Integer> ends = new TreeMap<>();
        final long start = System.nanoTime();
        boolean down = false;
        double due = 0;
        for (int at = 0; at < USUAL_MILLIS + BURSTS * (BURST_MILLIS + PAUSE_MILLIS); at += STEP_MILLIS) {
            final double factor = trouble && isBurst(at) ? BURST_FACTOR : 1;
            due += factor * USERS_PER_SECOND * STEP_MILLIS / 1_000;
            if (trouble && !down && at >= OUTAGE_AT_MILLIS) {
                down = true;
                record.line("%d users have come", open.size());
                startOutage(store, record);
            }
            for (int number = open.size() + ends.values().stream().mapToInt(n -> n).sum();
                    number < (int) due;
                    number++) {
                try {
                    final Client client = new Client(port, 3_000);
                    client.send("/old/charge", prefix + number, 2_500, new byte[600]);
                    open.add(client);
                } catch (final IOException e) {
                    ends.merge(e.toString(), 1, Integer::sum);
                }
            }
            Thread.sleep(Math.max(0, at + STEP_MILLIS - (System.nanoTime() - start) / 1_000_000));
        }
        record.line("%d users have come", open.size());
        final long end = System.nanoTime() + ANSWERS_MILLIS * 1_000_000L;
        for (final Client client : open) {
            String answered;
            try {
                client.socket().setSoTimeout((int) Math.max(1, (end - System.nanoTime()) / 1_000_000));
                final Http.Answer answer = client.answer();
                answered = answer == null ? "closed" : answer.head().line();
            } catch (final IOException e) {
                answered = e.toString();
            }
            ends.merge(answered, 1, Integer::sum);
        }
        record.line("their requests ended: %s", ends);
        for (final Client client : open) {
            client.close();
        }
        record.line("the users have left");
        Thread.sleep(IN_TOUCH_MILLIS);
    }

    private static boolean isBurst(final int atMillis) {
        return atMillis >= USUAL_MILLIS
                && (atMillis - USUAL_MILLIS) % (BURST_MILLIS + PAUSE_MILLIS) < BURST_MILLIS;
    }

    /** Cuts all calls of the store for a while. */
    private static void startOutage(final Store store, final Record record) {
        final Thread thread =
                new Thread(
                        () -> {
                            store.setDown(true);
                            record.line("the store is down: it cuts connections");
                            try {
                                Thread.sleep(OUTAGE_MILLIS);
                            } catch (final InterruptedException e) {
                                Thread.currentThread().interrupt();
                            }
                            store.setDown(false);
                            record.line("the store is back");
                        });
        thread.start();
    }

    /** Returns 1 if a request is answered as only the old version allows. */
    private static int probe(
            final int port, final String path, final String attempt, final int oldStatus, final Record record) {
        try (Client client = new Client(port, 4_000)) {
            final Http.Answer answer = client.call(path, attempt, 2_500, new byte[600]);
            record.line("%s %s: %s", attempt, path, answer == null ? "closed" : answer.head().line());
            return answer != null && answer.head().status() == oldStatus ? 1 : 0;
        } catch (final IOException e) {
            record.line("%s %s: %s", attempt, path, e);
            return 0;
        }
    }
}
