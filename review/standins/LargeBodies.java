import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Many clients upload bodies of 4 MB at the same time, 1 MB a second each, beside others that send
 * small requests one after the other.
 */
public final class LargeBodies {
    private static final int UPLOADERS = 60;
    private static final int UPLOADERS_IN_CALM = 2;
    private static final int UPLOADS = 3;
    private static final int BODY_BYTES = 4_000_000;
    private static final int PIECE_BYTES = 20_000;
    private static final int PIECE_PAUSE_MILLIS = 20;
    private static final int CLIENTS = 20;
    private static final int CLIENT_PAUSE_MILLIS = 150;
    private static final int TIMEOUT_MILLIS = 1_200;
    private static final int DEADLINE_MILLIS = 2_500;
    private static final int LATE_MILLIS = 500;

    private static final Map<String, Integer> ENDS = new ConcurrentSkipListMap<>();
    private static final AtomicInteger DUE = new AtomicInteger();
    private static final AtomicInteger UNANSWERED = new AtomicInteger();
    private static final List<SoundReplica> REPLICAS = new ArrayList<>();
    private static final Set<String> NO_ANSWER = ConcurrentHashMap.newKeySet();
    private static volatile boolean sEnded;

    private LargeBodies() {}

    public static void main(final String[] arguments) throws Exception {
        final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        try (Record record = new Record(Path.of(arguments[0]));
                Deployment deployment = new Deployment(1)) {
            deployment.configure(
                    1,
                    "[" + Deployment.route("charge", "/charge/", "non_idempotent", TIMEOUT_MILLIS, 150, "api", 1)
                            + "," + Deployment.route("upload", "/upload/", "non_idempotent", 12_000, 800, "api", 1)
                            + "]",
                    "[" + Deployment.backend("api") + "]",
                    "[]");
            for (int i = 0; i < 3; i++) {
                final SoundReplica replica = new SoundReplica("p-" + i, 43, 6, record);
                REPLICAS.add(replica);
                deployment.register("p-" + i, "api", replica.port(), 6);
            }
            if (!deployment.start()) {
                record.line("the relay did not get ready");
                System.exit(2);
            }
            final int port = deployment.relay(0).callerPort();
            final List<Thread> clients = new ArrayList<>();
            for (int i = 0; i < CLIENTS; i++) {
                final int number = i;
                clients.add(start(() -> charge(port, number, record)));
            }
            final List<Thread> uploaders = new ArrayList<>();
            for (int i = 0; i < (trouble ? UPLOADERS : UPLOADERS_IN_CALM); i++) {
                final int number = i;
                uploaders.add(start(() -> upload(port, number, record)));
            }
            for (final Thread thread : uploaders) {
                thread.join();
            }
            sEnded = true;
            for (final Thread thread : clients) {
                thread.join();
            }
            record.line("ends: %s", ENDS);
            record.line(
                    "of %d small requests that were unanswered at their route's time-out, %d had no"
                            + " answer half a second later",
                    DUE.get(), UNANSWERED.get());
            record.line(
                    "%d of those had been run by a replica",
                    NO_ANSWER.stream()
                            .filter(attempt -> REPLICAS.stream().anyMatch(r -> r.runs().containsKey(attempt)))
                            .count());
            record.line(
                    "the relay is alive: %s, ready: %s",
                    deployment.relay(0).isAlive(), deployment.relay(0).isReady());
            record.line(
                    "errors in the relay's log: %d",
                    deployment.relay(0).output().lines().filter(l -> l.contains("OutOfMemoryError")).count());
        }
        System.exit(2 * UNANSWERED.get() > DUE.get() ? 1 : 0);
    }

    private static Thread start(final Runnable task) {
        final Thread thread = new Thread(task);
        thread.start();
        return thread;
    }

    private static void charge(final int port, final int number, final Record record) {
        Client client = null;
        for (int i = 0; !sEnded; i++) {
            final String attempt = "c" + number + "-" + i;
            final long start = System.nanoTime();
            String end;
            try {
                if (client == null) {
                    client = new Client(port, DEADLINE_MILLIS);
                }
                final Http.Answer answer = client.call("/charge/x", attempt, DEADLINE_MILLIS, new byte[600]);
                end = answer == null ? "closed" : Integer.toString(answer.head().status());
                if (answer == null || "close".equalsIgnoreCase(answer.head().field("Connection"))) {
                    client.close();
                    client = null;
                }
            } catch (final IOException e) {
                end = e.toString();
                client = null;
            }
            final long millis = (System.nanoTime() - start) / 1_000_000;
            DUE.addAndGet(millis > TIMEOUT_MILLIS ? 1 : 0);
            if (millis > TIMEOUT_MILLIS + LATE_MILLIS) {
                UNANSWERED.incrementAndGet();
                NO_ANSWER.add(attempt);
            }
            ENDS.merge("small " + end, 1, Integer::sum);
            record.line("%s: %s after %d ms", attempt, end, millis);
            pause(CLIENT_PAUSE_MILLIS);
        }
    }

    private static void upload(final int port, final int number, final Record record) {
        for (int i = 0; i < UPLOADS; i++) {
            final String attempt = "u" + number + "-" + i;
            String end;
            try (Client client = new Client(port, 14_000)) {
                final OutputStream out = client.socket().getOutputStream();
                out.write(
                        ("POST /upload/x HTTP/1.1\r\nHost: " + Deployment.HOST + "\r\nAttempt-Id: " + attempt
                                        + "\r\nDeadline-Ms: 12000\r\nContent-Length: " + BODY_BYTES + "\r\n\r\n")
                                .getBytes(StandardCharsets.US_ASCII));
                for (int sent = 0; sent < BODY_BYTES; sent += PIECE_BYTES) {
                    out.write(new byte[PIECE_BYTES]);
                    pause(PIECE_PAUSE_MILLIS);
                }
                final Http.Answer answer = client.answer();
                end = answer == null ? "closed" : Integer.toString(answer.head().status());
            } catch (final IOException e) {
                end = e.toString();
            }
            ENDS.merge("upload " + end, 1, Integer::sum);
            record.line("%s: %s", attempt, end);
        }
    }

    private static void pause(final int millis) {
        try {
            Thread.sleep(millis);
        } catch (final InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
