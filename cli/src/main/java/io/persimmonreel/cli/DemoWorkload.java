package io.persimmonreel.cli;

import java.util.Random;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** Sends the mixed requests of a kiosk chain through several daemons. */
final class DemoWorkload {
    private static final String[] CUSTOMERS = {
        "kiosks-lahore", "kiosks-karachi", "kiosks-rawalpindi"
    };
    private static final double LOOKUPS_PER_SECOND = 40;
    private static final double CHARGES_PER_SECOND = 10;
    private static final double REPLIES_PER_SECOND = 16;
    private static final double GUIDANCE_PER_SECOND = 8;
    private static final double REPORTS_PER_SECOND = 4;

    /** One of this many charges is sent again, through another daemon, after its answer. */
    private static final int CHARGES_PER_REPEAT = 4;

    /** One of this many charges is sent through two daemons at the same time. */
    private static final int CHARGES_PER_DUPLICATE = 7;

    private static final long DRAIN_SECONDS = 60;
    private static final long NANOS_PER_SECOND = 1_000_000_000L;
    private static final String SHARED_PREFIX =
            "You answer customers of a dog-wash kiosk. Be short and friendly. ".repeat(12);

    private final ServiceClient mClient;
    private final int mDaemonCount;
    private final AttemptLog mAttemptLog;
    private final Random mRandom;
    private final AnswerCheck mCheck = new AnswerCheck();
    private final IdempotencyKeyGenerator mKeys = new IdempotencyKeyGenerator();
    private final AtomicInteger mSent = new AtomicInteger();
    private final ExecutorService mThreads = Executors.newCachedThreadPool();
    private final ScheduledExecutorService mScheduler = Executors.newScheduledThreadPool(1);

    DemoWorkload(
            final ServiceClient client,
            final int daemonCount,
            final AttemptLog attemptLog,
            final long seed) {
        mClient = client;
        mDaemonCount = daemonCount;
        mAttemptLog = attemptLog;
        mRandom = new Random(seed);
    }

    int sent() {
        return mSent.get();
    }

    /** Starts sending. */
    void start() {
        sendAtRate(LOOKUPS_PER_SECOND, this::sendLookup);
        sendAtRate(CHARGES_PER_SECOND, this::sendCharge);
        sendAtRate(
                REPLIES_PER_SECOND,
                n ->
                        sendToEngine(
                                "booking-reply", "reply to booking " + n, 20 + randomBelow(80), n));
        sendAtRate(
                GUIDANCE_PER_SECOND,
                n -> sendToEngine("wash-guidance", "guide cycle " + n, 60 + randomBelow(120), n));
        sendAtRate(
                REPORTS_PER_SECOND,
                n -> sendToEngine("shift-report", reportPrompt(n), 150 + randomBelow(300), n));
    }

    /** Stops sending and waits for the last answers; returns false if some did not arrive. */
    boolean stop() throws InterruptedException {
        mScheduler.shutdownNow();
        mThreads.shutdown();
        final boolean allAnswered = mThreads.awaitTermination(DRAIN_SECONDS, TimeUnit.SECONDS);
        mThreads.shutdownNow();
        return allAnswered;
    }

    private interface RequestSender {
        void send(int number);
    }

    private void sendAtRate(final double perSecond, final RequestSender sender) {
        final AtomicInteger number = new AtomicInteger();
        final long interval = Math.round(NANOS_PER_SECOND / perSecond);
        mScheduler.scheduleAtFixedRate(
                () -> sender.send(number.incrementAndGet()),
                randomBelow((int) Math.min(interval, Integer.MAX_VALUE)),
                interval,
                TimeUnit.NANOSECONDS);
    }

    private synchronized int randomBelow(final int bound) {
        return mRandom.nextInt(bound);
    }

    private String reportPrompt(final int number) {
        return "shift report "
                + number
                + ": "
                + "cycle done, dryer checked. ".repeat(randomBelow(300));
    }

    private void sendLookup(final int number) {
        submit(number % mDaemonCount, Call.plain("booking-lookup", body(number), ""), number);
    }

    private void sendToEngine(
            final String service, final String prompt, final int tokens, final int number) {
        final Call call =
                Call.engine(service, SHARED_PREFIX, prompt + " tokens=" + tokens, tokens, true);
        submit(number % mDaemonCount, call, number);
    }

    private void sendCharge(final int number) {
        final Call call =
                Call.plain("charge", body(number), mKeys.next(System.currentTimeMillis()));
        final int first = number % mDaemonCount;
        final int other = (number + 1) % mDaemonCount;
        if (number % CHARGES_PER_DUPLICATE == 0) {
            submit(other, call, number);
        }
        mThreads.execute(
                () -> {
                    attempt(first, call, number);
                    if (number % CHARGES_PER_REPEAT == 0) {
                        attempt(other, call, number);
                    }
                });
    }

    private static String body(final int number) {
        return "{\"booking\":" + number + ",\"amount\":" + (number * 37 % 900 + 100) + "}";
    }

    private void submit(final int daemon, final Call call, final int number) {
        mThreads.execute(() -> attempt(daemon, call, number));
    }

    private void attempt(final int daemon, final Call call, final int number) {
        // Every customer uses every daemon, so that the daemons share its quota.
        final String customerKey = "demo-" + CUSTOMERS[number / mDaemonCount % CUSTOMERS.length];
        mSent.incrementAndGet();
        final long start = System.nanoTime();
        try {
            final Answer answer = mClient.send(daemon, call, customerKey, token -> {});
            mAttemptLog.add(
                    new Attempt(call, mCheck.check(call, answer), start, System.nanoTime()));
        } catch (final InterruptedException e) {
            Thread.currentThread().interrupt();
            mAttemptLog.add(
                    new Attempt(call, Answer.lost(0, "", "interrupted"), start, System.nanoTime()));
        }
    }
}
