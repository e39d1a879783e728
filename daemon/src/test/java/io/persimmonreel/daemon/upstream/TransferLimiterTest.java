package io.persimmonreel.daemon.upstream;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

class TransferLimiterTest {
    private static final int MAXIMUM_RUNNING = 4;

    private final TransferLimiter mLimiter = new TransferLimiter(MAXIMUM_RUNNING);
    private final List<Integer> mStarted = new ArrayList<>();
    private final List<CompletableFuture<Void>> mTransfers = new ArrayList<>();
    private final List<CompletableFuture<Void>> mResults = new ArrayList<>();

    private void submitTransfer(final int number) {
        final CompletableFuture<Void> transfer = new CompletableFuture<>();
        mTransfers.add(transfer);
        mResults.add(
                mLimiter.submit(
                        () -> {
                            mStarted.add(number);
                            return transfer;
                        }));
    }

    /** Guards against running out of memory when many streams are moved at once. */
    @Test
    void startsWaitingTransfersInOrderWhenOthersEnd() {
        for (int i = 0; i < 7; i++) {
            submitTransfer(i);
        }
        assertThat(mStarted).containsExactly(0, 1, 2, 3);
        mTransfers.get(2).complete(null);
        assertThat(mStarted).containsExactly(0, 1, 2, 3, 4);
        assertThat(mResults.get(2)).isCompleted();
        mTransfers.get(0).completeExceptionally(new IllegalStateException("lost"));
        assertThat(mResults.get(0)).isCompletedExceptionally();
        assertThat(mStarted).containsExactly(0, 1, 2, 3, 4, 5);
    }

    /** Guards against losing a slot for transfers when a transfer can't be started. */
    @Test
    void releasesTheSlotOfATransferThatFailsToStart() {
        for (int i = 0; i < 2 * MAXIMUM_RUNNING; i++) {
            final CompletableFuture<Void> result =
                    mLimiter.submit(
                            () -> {
                                throw new IllegalStateException("no address");
                            });
            assertThat(result).isCompletedExceptionally();
        }
        submitTransfer(1);
        assertThat(mStarted).containsExactly(1);
    }
}
