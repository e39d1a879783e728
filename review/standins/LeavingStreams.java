import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** Two relays of a zone of three are stopped in turn; streams still come to them. */
public final class LeavingStreams {
    private static final int RELAYS = 3;
    private static final int REPLICAS = 6;
    private static final int SLOTS = 10;
    private static final int EVENTS = 49;
    private static final int EVENT_MILLIS = 13;
    private static final int TIMEOUT_MILLIS = 12_000;
    private static final int GAP_MILLIS = 1_000;

    /** Requests that are sent from then on, after the SIGTERM, are judged. */
    private static final int JUDGED_MILLIS = 3_200;

    private static final int LAST_MILLIS = 5_500;
    private static final int LONG_EVERY = 8;

    private static final AtomicInteger SERVED = new AtomicInteger();
    private static final AtomicInteger REFUSED = new AtomicInteger();
    private static final AtomicInteger CUT = new AtomicInteger();

    private LeavingStreams() {}

    public static void main(final String[] arguments) throws Exception {
        final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        try (Record record = new Record(Path.of(arguments[0]));
                Deployment deployment = new Deployment(RELAYS)) {
            deployment.configure(
                    1,
                    "[" + Deployment.route("guide", "/guide/", "streaming", TIMEOUT_MILLIS, 400, "llm", 1)
                            + "]",
                    "[" + Deployment.engine("llm") + "]",
                    "[]");
            for (int i = 0; i < REPLICAS; i++) {
                final StreamReplica replica = new StreamReplica("m-" + i, SLOTS, EVENTS, EVENT_MILLIS, record);
                deployment.register("m-" + i, "llm", replica.port(), SLOTS);
            }
            if (!deployment.start()) {
                record.line("the relays did not get ready");
                System.exit(2);
            }
            final List<Thread> threads = new ArrayList<>();
            // The relays learn the speed of the replicas.
            for (int i = 0; i < 60; i++) {
                threads.add(send(deployment.relay(i % RELAYS), "w" + i, false, record));
                Thread.sleep(50);
            }
            for (final Thread thread : threads) {
                thread.join();
            }
            record.line("before the stop: %d served, %d refused, %d cut off", SERVED.get(), REFUSED.get(), CUT.get());
            threads.clear();
            final long start = System.nanoTime();
            if (trouble) {
                deployment.relay(0).signal("TERM");
                record.line("the first relay gets SIGTERM");
            }
            boolean second = false;
            int number = 0;
            long millis = 0;
            while (millis < LAST_MILLIS) {
                if (trouble && !second && millis > GAP_MILLIS) {
                    second = true;
                    deployment.relay(1).signal("TERM");
                    record.line("the second relay gets SIGTERM");
                }
                final boolean judged = millis > JUDGED_MILLIS;
                final boolean longOne = judged && number % LONG_EVERY == 3;
                threads.add(send(deployment.relay(0), (judged ? "s" : "e") + number, longOne, record));
                number++;
                Thread.sleep(50);
                millis = (System.nanoTime() - start) / 1_000_000;
            }
            for (final Thread thread : threads) {
                thread.join();
            }
            record.line(
                    "in all: %d served, %d refused or not begun, %d judged ones cut off",
                    SERVED.get(), REFUSED.get(), CUT.get());
        }
        System.exit(CUT.get() > 0 ? 1 : 0);
    }

    private static Thread send(
            final Relay relay, final String attempt, final boolean longOne, final Record record) {
        final Thread thread =
                new Thread(
                        () -> {
                            String end;
                            final long start = System.nanoTime();
                            try (Client client = new Client(relay.callerPort(), TIMEOUT_MILLIS)) {
                                record.line("sent %s%s", attempt, longOne ? ", a long one" : "");
                                final Http.Answer answer =
                                        client.generate(
                                                longOne ? "/guide/long" : "/guide/wash", attempt, TIMEOUT_MILLIS);
                                if (answer == null) {
                                    end = "closed";
                                    REFUSED.incrementAndGet();
                                } else if (!answer.complete()) {
                                    end = answer.head().status() + ", cut off";
                                    CUT.addAndGet(attempt.startsWith("s") ? 1 : 0);
                                } else {
                                    end = Integer.toString(answer.head().status());
                                    (end.equals("200") ? SERVED : REFUSED).incrementAndGet();
                                }
                            } catch (final IOException e) {
                                end = e.toString();
                                REFUSED.incrementAndGet();
                            }
                            record.line("%s: %s after %d ms", attempt, end, (System.nanoTime() - start) / 1_000_000);
                        });
        thread.start();
        return thread;
    }
}
