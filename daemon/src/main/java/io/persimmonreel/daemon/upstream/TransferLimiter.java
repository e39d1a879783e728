package io.persimmonreel.daemon.upstream;

import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

/** Limits how many transfers run at the same time; others wait in order. Thread safe. */
final class TransferLimiter {
    private final int mMaximumRunning;
    private final Queue<Runnable> mWaiting = new ArrayDeque<>();
    private int mRunning;

    TransferLimiter(final int maximumRunning) {
        mMaximumRunning = maximumRunning;
    }

    /** Starts a transfer, now or when earlier ones have ended; the result completes with it. */
    CompletableFuture<Void> submit(final Supplier<CompletableFuture<Void>> transfer) {
        final CompletableFuture<Void> result = new CompletableFuture<>();
        synchronized (mWaiting) {
            if (mRunning >= mMaximumRunning) {
                mWaiting.add(() -> start(transfer, result));
                return result;
            }
            mRunning++;
        }
        start(transfer, result);
        return result;
    }

    private void start(
            final Supplier<CompletableFuture<Void>> transfer,
            final CompletableFuture<Void> result) {
        CompletableFuture<Void> running;
        try {
            running = transfer.get();
        } catch (final RuntimeException e) {
            running = CompletableFuture.failedFuture(e);
        }
        running.whenComplete(
                (ignored, error) -> {
                    startNext();
                    if (error == null) {
                        result.complete(null);
                    } else {
                        result.completeExceptionally(error);
                    }
                });
    }

    private void startNext() {
        final Runnable next;
        synchronized (mWaiting) {
            next = mWaiting.poll();
            if (next == null) {
                mRunning--;
            }
        }
        if (next != null) {
            next.run();
        }
    }
}
