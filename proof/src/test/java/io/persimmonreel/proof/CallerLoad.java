package io.persimmonreel.proof;

import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicIntegerArray;

/** Sends requests from several callers at the same time until it is closed. */
final class CallerLoad implements AutoCloseable {
    private static final int CALLERS = 4;

    /** The number of requests that each caller must finish between two steps of a test. */
    private static final int REQUESTS_PER_STEP = 20;

    private static final long PAUSE_MILLIS = 10;
    private static final long MAXIMUM_WAIT_SECONDS = 90;

    private final AtomicIntegerArray mFinishedRequests = new AtomicIntegerArray(CALLERS);
    private final Queue<String> mFailures = new ConcurrentLinkedQueue<>();
    private final List<Thread> mThreads = new ArrayList<>();
    private volatile String mCustomerKey;
    private volatile boolean mClosed;

    CallerLoad(final List<Integer> ports, final String key) throws Exception {
        mCustomerKey = key;
        for (int i = 0; i < CALLERS; i++) {
            final int number = i;
            final SecureCaller caller = new SecureCaller(ports);
            final Thread thread = new Thread(() -> run(number, caller));
            mThreads.add(thread);
            thread.start();
        }
    }

    void useCustomerKey(final String key) {
        mCustomerKey = key;
    }

    List<String> failures() {
        return List.copyOf(mFailures);
    }

    /** Waits until each caller has finished enough more requests for the next step of a test. */
    void awaitRequests() throws InterruptedException {
        final long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(MAXIMUM_WAIT_SECONDS);
        for (int i = 0; i < CALLERS; i++) {
            final int target = mFinishedRequests.get(i) + REQUESTS_PER_STEP;
            while (mFinishedRequests.get(i) < target) {
                if (System.nanoTime() - end > 0) {
                    throw new AssertionError(
                            "too few requests within " + MAXIMUM_WAIT_SECONDS + " s");
                }
                TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS);
            }
        }
    }

    @Override
    public void close() throws InterruptedException {
        mClosed = true;
        for (final Thread thread : mThreads) {
            thread.join(TimeUnit.SECONDS.toMillis(MAXIMUM_WAIT_SECONDS));
        }
    }

    private void run(final int number, final SecureCaller caller) {
        for (int i = 0; !mClosed; i++) {
            try {
                final HttpResponse<String> answer =
                        i % 2 == 0
                                ? caller.sendReply(mCustomerKey)
                                : caller.sendCharge(mCustomerKey, i);
                if (answer.statusCode() != 200) {
                    mFailures.add(answer.statusCode() + ": " + answer.body());
                }
                TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS);
            } catch (final Exception e) {
                mFailures.add(e.toString());
            }
            mFinishedRequests.incrementAndGet(number);
        }
    }
}
