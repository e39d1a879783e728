package io.persimmonreel.experiment.ownership;

import io.persimmonreel.core.time.TimeSource;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Simulates callers that send new requests through the load balancer and retry each once if it was
 * not answered. Requests that are still not answered are repeated once more after a minute, to find
 * keys that run twice.
 */
final class Callers {
    private static final long RETRY_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(200);
    private static final long REPEAT_DELAY_NANOS = TimeUnit.MINUTES.toNanos(1);
    private static final int MAXIMUM_SKEW_MILLIS = 500;

    private final Fleet mFleet;
    private final AtMostOnceMethod mMethod;
    private final boolean mIssuedKeys;
    private int mSentRequests;
    private int mAnsweredAtFirstTry;
    private int mAnsweredByRetry;

    Callers(final Fleet fleet, final AtMostOnceMethod method, final boolean issuedKeys) {
        mFleet = fleet;
        mMethod = method;
        mIssuedKeys = issuedKeys;
    }

    /** Schedules new requests at a constant rate, from now on. */
    void send(final long durationNanos, final long intervalNanos) {
        for (long at = 0L; at < durationNanos; at += intervalNanos) {
            mFleet.queue().scheduleAfter(at, this::sendRequest);
        }
    }

    private void sendRequest() {
        mSentRequests++;
        attempt(
                null,
                (key, answered) -> {
                    if (answered) {
                        mAnsweredAtFirstTry++;
                    } else {
                        mFleet.queue().scheduleAfter(RETRY_DELAY_NANOS, () -> retry(key));
                    }
                });
    }

    private void retry(final String key) {
        attempt(
                key,
                (same, answered) -> {
                    if (answered) {
                        mAnsweredByRetry++;
                    } else {
                        mFleet.queue().scheduleAfter(REPEAT_DELAY_NANOS, () -> repeat(same));
                    }
                });
    }

    private void repeat(final String key) {
        if (key != null) {
            attempt(key, (same, answered) -> {});
        }
    }

    /** Receives the result of one attempt. */
    private interface AttemptListener {
        void onEnd(String key, boolean answered);
    }

    private void attempt(final String existingKey, final AttemptListener listener) {
        final String key = existingKey == null ? newKey() : existingKey;
        final DaemonProcess daemon = mFleet.pickDaemon();
        if (daemon == null || key == null) {
            listener.onEnd(key, false);
            return;
        }
        final boolean[] ended = new boolean[1];
        final Consumer<Boolean> firstResult =
                answered -> {
                    if (!ended[0]) {
                        ended[0] = true;
                        listener.onEnd(key, answered);
                    }
                };
        daemon.onEnd(() -> firstResult.accept(false));
        mMethod.handle(daemon, key, firstResult);
    }

    /** Returns a new key, or null if the daemon that is to issue it accepts no connections. */
    private String newKey() {
        final int skewMillis =
                mFleet.random().nextInt(2 * MAXIMUM_SKEW_MILLIS) - MAXIMUM_SKEW_MILLIS;
        final TimeSource callerClock = mFleet.queue().timeSource(skewMillis);
        final DaemonProcess issuer = mIssuedKeys ? mFleet.pickDaemon() : null;
        return mIssuedKeys && issuer == null
                ? null
                : mMethod.newKey(issuer, callerClock.wallMillis());
    }

    int sentRequests() {
        return mSentRequests;
    }

    double firstTryPercent() {
        return 100.0 * mAnsweredAtFirstTry / mSentRequests;
    }

    double afterRetryPercent() {
        return 100.0 * (mAnsweredAtFirstTry + mAnsweredByRetry) / mSentRequests;
    }
}
