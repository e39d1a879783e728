import java.io.IOException;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A relay is frozen for five seconds under load and wakes again. Clients keep their connections for
 * many requests. They wait beyond their deadline, so that it shows whether an answer comes at all.
 * The freeze ends seven seconds or more before the route's time-out of any request that it meets.
 */
public final class FreezeHang {
    private static final int CLIENTS = 600;
    private static final int STREAM_REPLICAS = 3;
    private static final int STREAM_SLOTS = 10;
    private static final int STREAM_EVENTS = 8;
    private static final int EVENT_MILLIS = 23;
    private static final int STREAM_TIMEOUT_MILLIS = 12_000;
    private static final int THINK_MILLIS = 4_800;
    private static final int LATE_MILLIS = 500;
    private static final int FREEZES = 4;
    private static final int FREEZE_MILLIS = 5_000;
    private static final int CALM_MILLIS = 9_000;
    private static final int CHARGES = 10;
    private static final int CHARGE_TIMEOUT_MILLIS = 1_200;
    private static final int CHARGE_DEADLINE_MILLIS = 2_500;

    private static final Map<String, Integer> ENDS = new ConcurrentSkipListMap<>();
    private static final AtomicInteger FOREIGN = new AtomicInteger();
    private static final AtomicInteger DUE = new AtomicInteger();
    private static final AtomicInteger UNANSWERED = new AtomicInteger();
    private static final AtomicInteger LATE_CHARGES = new AtomicInteger();
    private static volatile boolean sEnded;

    private FreezeHang() {}

    public static void main(final String[] arguments) throws Exception {
        final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        try (Record record = new Record(Path.of(arguments[0]));
                Deployment deployment = new Deployment(1)) {
            deployment.configure(
                    1,
                    "[" + Deployment.route("guide", "/guide/", "streaming", STREAM_TIMEOUT_MILLIS, 400, "llm", 1)
                           
                            + "," + Deployment.route("charge", "/charge/", "non_idempotent", CHARGE_TIMEOUT_MILLIS, 150, "api", 1)
                            + "]",
                    "[" + Deployment.backend("llm") + "," + Deployment.backend("api") + "]",
                    "[]");
            for (int i = 0; i < STREAM_REPLICAS; i++) {
                deployment.register("m-" + i, "llm", new StreamReplica("m-" + i, STREAM_SLOTS, STREAM_EVENTS, EVENT_MILLIS, record).port(), STREAM_SLOTS);
            }
            deployment.register("p-0", "api", new SoundReplica("p-0", 43, record).port(), 6);
            if (!deployment.start()) {
                record.line("the relay did not get ready");
                System.exit(2);
            }
            final Relay relay = deployment.relay(0);
            final List<Thread> clients = new ArrayList<>();
            for (int i = 0; i < CLIENTS; i++) {
                final int number = i;
                final Thread thread = new Thread(() -> run(relay.callerPort(), number, record));
                thread.start();
                clients.add(thread);
            }
            Thread.sleep(CALM_MILLIS);
            for (int i = 0; i < FREEZES; i++) {
                if (trouble) {
                    record.line("the relay is stopped (SIGSTOP)");
                    relay.signal("STOP");
                }
                Thread.sleep(FREEZE_MILLIS);
                if (trouble) {
                    relay.signal("CONT");
                    record.line("the relay is continued (SIGCONT)");
                }
                Thread.sleep(CALM_MILLIS);
            }
            sEnded = true;
            for (final Thread thread : clients) {
                thread.join();
            }
            record.line("streams ended: %s", ENDS);
            final List<Thread> charges = new ArrayList<>();
            for (int i = 0; i < CHARGES; i++) {
                final String attempt = "c" + i;
                final Thread thread = new Thread(() -> charge(relay.callerPort(), attempt, record));
                thread.start();
                charges.add(thread);
                Thread.sleep(50);
            }
            for (final Thread thread : charges) {
                thread.join();
            }
            record.line(
                    "%d of %d charges at a mute replica had no answer half a second after their time-out",
                    LATE_CHARGES.get(), CHARGES);
            record.line("%d answers belonged to another request", FOREIGN.get());
            record.line(
                    "of %d streams that were unanswered at their route's time-out, %d had no answer half a"
                            + " second later",
                    DUE.get(), UNANSWERED.get());
            record.line("the relay is alive: %s, ready: %s", relay.isAlive(), relay.isReady());
            record.line(
                    "errors in the relay's log: %d",
                    relay.output().lines().filter(line -> line.contains("StackOverflowError")).count());
        }
        System.exit(
                FOREIGN.get() > 0 || 2 * UNANSWERED.get() > DUE.get() || 2 * LATE_CHARGES.get() > CHARGES
                        ? 1
                        : 0);
    }

    /** Sends one stream after the other on one connection, with a pause between them. */
    private static void run(final int port, final int number, final Record record) {
        final Random random = new Random(number);
        Client client = null;
        try {
            Thread.sleep(random.nextInt(5_000));
            for (int i = 0; !sEnded; i++) {
                final String attempt = "g" + number + "-" + i;
                if (client == null) {
                    client = new Client(port, FREEZE_MILLIS + STREAM_TIMEOUT_MILLIS + LATE_MILLIS);
                }
                if (!guide(client, attempt, record)) {
                    client.close();
                    client = null;
                }
                Thread.sleep(THINK_MILLIS / 2 + random.nextInt(THINK_MILLIS));
            }
            if (client != null) {
                client.close();
            }
        } catch (final IOException | InterruptedException e) {
            record.line("client %d: %s", number, e);
        }
    }

    /** Returns whether the connection may be used for the next request. */
    private static boolean guide(final Client client, final String attempt, final Record record) {
        final long start = System.nanoTime();
        String end;
        boolean reusable = false;
        try {
            final Http.Answer answer =
                    client.call("/guide/wash", attempt, STREAM_TIMEOUT_MILLIS, new byte[830]);
            if (answer == null) {
                end = "closed";
            } else {
                end = answer.head().status() + (answer.complete() ? "" : " cut");
                reusable = answer.complete() && !"close".equalsIgnoreCase(answer.head().field("Connection"));
                final String body = new String(answer.body(), StandardCharsets.US_ASCII);
                if (answer.head().status() == 200 && !body.contains("of " + attempt + "\n")) {
                    FOREIGN.incrementAndGet();
                    end += " of another request: " + body.lines().skip(1).findFirst().orElse("");
                }
            }
        } catch (final SocketTimeoutException e) {
            end = "no answer";
        } catch (final IOException e) {
            end = e.toString();
        }
        final long millis = (System.nanoTime() - start) / 1_000_000;
        if (millis > STREAM_TIMEOUT_MILLIS) {
            DUE.incrementAndGet();
            UNANSWERED.addAndGet(millis > STREAM_TIMEOUT_MILLIS + LATE_MILLIS ? 1 : 0);
        }
        ENDS.merge(end.split(" of ")[0], 1, Integer::sum);
        record.line("%s: %s after %d ms", attempt, end, millis);
        return reusable;
    }

    /** Sends a request to a replica that runs it and does not answer. */
    private static void charge(final int port, final String attempt, final Record record) {
        final long start = System.nanoTime();
        String end;
        try (Client client = new Client(port, CHARGE_DEADLINE_MILLIS + LATE_MILLIS)) {
            final Http.Answer answer =
                    client.call("/charge/mute", attempt, CHARGE_DEADLINE_MILLIS, new byte[600]);
            end = answer == null ? "closed" : answer.head().line();
        } catch (final IOException e) {
            end = e.toString();
        }
        final long millis = (System.nanoTime() - start) / 1_000_000;
        LATE_CHARGES.addAndGet(millis > CHARGE_TIMEOUT_MILLIS + LATE_MILLIS ? 1 : 0);
        record.line("%s: %s after %d ms", attempt, end, millis);
    }
}
