import java.io.IOException;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One relay of seven is frozen for four seconds under load and wakes again, several times. Its clients
 * keep their connections for many requests, and wait for each answer until half a second after the
 * route's time-out. That of a request that meets a freeze ends eight seconds or more after it and before
 * the next one.
 */
public final class FreezeHang {
    private static final int RELAYS = 7;
    private static final int CLIENTS = 480;
    private static final int REPLICAS = 3;
    private static final int SLOTS = 10;
    private static final int WORK_MILLIS = 184;
    private static final int TIMEOUT_MILLIS = 12_000;
    private static final int AIM_MILLIS = 400;
    private static final int THINK_MILLIS = 4_700;
    private static final int LATE_MILLIS = 500;
    private static final int FREEZES = 4;
    private static final int FREEZE_MILLIS = 4_000;
    private static final int START_MILLIS = 6_000;
    private static final int CALM_MILLIS = 14_000;
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
                Deployment deployment = new Deployment(RELAYS)) {
            deployment.configure(
                    1,
                    "[" + Deployment.route("issue", "/issue/", "non_idempotent", TIMEOUT_MILLIS, AIM_MILLIS, "app", 1)
                            + "," + Deployment.route("charge", "/charge/", "non_idempotent", CHARGE_TIMEOUT_MILLIS, 150, "api", 1)
                            + "]",
                    "[" + Deployment.backend("app") + "," + Deployment.backend("api") + "]",
                    "[]");
            for (int i = 0; i < REPLICAS; i++) {
                deployment.register("a-" + i, "app", new SoundReplica("a-" + i, WORK_MILLIS, SLOTS, record).port(), SLOTS);
            }
            deployment.register("p-0", "api", new SoundReplica("p-0", 43, record).port(), 6);
            if (!deployment.start()) {
                record.line("the relays did not get ready");
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
            Thread.sleep(START_MILLIS);
            for (int i = 0; i < FREEZES; i++) {
                if (trouble) {
                    record.line("one relay of %d is stopped (SIGSTOP)", RELAYS);
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
            record.line("requests ended: %s", ENDS);
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
                    "of %d requests that were unanswered at their route's time-out, %d had no answer half a"
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

    /** Sends one request after the other on one connection, with a pause between them. */
    private static void run(final int port, final int number, final Record record) {
        final Random random = new Random(number);
        Client client = null;
        try {
            Thread.sleep(random.nextInt(5_000));
            for (int i = 0; !sEnded; i++) {
                final String attempt = "i" + number + "-" + i;
                if (client == null) {
                    client = new Client(port, TIMEOUT_MILLIS + LATE_MILLIS + 100);
                }
                if (!issue(client, attempt, record)) {
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
    private static boolean issue(final Client client, final String attempt, final Record record) {
        final long start = System.nanoTime();
        String end;
        boolean reusable = false;
        try {
            final Http.Answer answer =
                    client.call("/issue/serial", attempt, TIMEOUT_MILLIS + LATE_MILLIS, new byte[600]);
            if (answer == null) {
                end = "closed";
            } else {
                end = answer.head().status() + (answer.complete() ? "" : " cut");
                reusable = answer.complete() && !"close".equalsIgnoreCase(answer.head().field("Connection"));
                if (answer.head().status() == 200
                        && !Arrays.equals(answer.body(), SoundReplica.answer(attempt))) {
                    FOREIGN.incrementAndGet();
                    end = "answer of another request";
                }
            }
        } catch (final SocketTimeoutException e) {
            end = "no answer";
        } catch (final IOException e) {
            end = e.toString();
        }
        final long millis = (System.nanoTime() - start) / 1_000_000;
        if (millis > TIMEOUT_MILLIS) {
            DUE.incrementAndGet();
            UNANSWERED.addAndGet(millis > TIMEOUT_MILLIS + LATE_MILLIS ? 1 : 0);
        }
        ENDS.merge(end, 1, Integer::sum);
        record.line("%s: %s after %d ms", attempt, end, millis);
        return reusable;
    }

    /** Sends a request to a replica that runs it and does not answer. */
    private static void charge(final int port, final String attempt, final Record record) {
        final long start = System.nanoTime();
        String end;
        try (Client client = new Client(port, CHARGE_DEADLINE_MILLIS)) {
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
