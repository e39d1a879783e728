package io.persimmonreel.daemon.relay;

import static io.persimmonreel.daemon.relay.ReplicaScripts.ATTEMPT_HEADER;

import io.persimmonreel.core.time.TimeSource;
import io.persimmonreel.daemon.time.SystemTimeSource;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/**
 * Sends a charge when the thread that stops a relay reads the clock, which it does for the line of
 * the log that precedes the end of the process.
 */
final class LateCaller implements TimeSource {
    /** The time that the replica takes for the charge. */
    static final int RUN_MILLIS = 300;

    private static final int WAIT_MILLIS = 2_000;

    private final SystemTimeSource mTime = new SystemTimeSource();
    private final CountDownLatch mReceived = new CountDownLatch(1);
    private final CompletableFuture<String> mResponse = new CompletableFuture<>();
    private volatile RelayFixture mRelay;
    private volatile Thread mStopping;

    /** Sends the charge once a thread that stops a relay is about to end it. */
    void sendBeforeTheEnd(final RelayFixture relay, final Thread stopping) {
        mRelay = relay;
        mStopping = stopping;
    }

    void onReceived() {
        mReceived.countDown();
    }

    /** Returns all that was received, or why the charge could not be sent or answered. */
    String response() throws Exception {
        return mResponse.get(WAIT_MILLIS, TimeUnit.MILLISECONDS);
    }

    @Override
    public long monotonicNanos() {
        return mTime.monotonicNanos();
    }

    @Override
    public long wallMillis() {
        if (Thread.currentThread() == mStopping) {
            mStopping = null;
            send();
        }
        return mTime.wallMillis();
    }

    private void send() {
        final Thread caller = new Thread(this::sendCharge);
        caller.start();
        try {
            // Either the replica has the charge, or the relay takes none any more.
            while (mReceived.getCount() > 0 && !mResponse.isDone()) {
                mReceived.await(5, TimeUnit.MILLISECONDS);
            }
        } catch (final InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void sendCharge() {
        try (Socket socket = mRelay.connect()) {
            RelayFixture.send(socket, "POST", "/charge/1", ATTEMPT_HEADER, "x");
            mResponse.complete(
                    new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8));
        } catch (final IOException e) {
            mResponse.complete(e.toString());
        }
    }
}
