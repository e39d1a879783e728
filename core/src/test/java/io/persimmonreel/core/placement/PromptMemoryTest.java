package io.persimmonreel.core.placement;

import static org.assertj.core.api.Assertions.assertThat;

import io.persimmonreel.core.placement.WorkSize.PromptPart;
import java.util.List;
import org.junit.jupiter.api.Test;

class PromptMemoryTest {
    private static final long SECOND = 1_000_000_000L;
    private static final long CAPACITY = 1_000;
    private static final PromptPart SYSTEM = new PromptPart(1, 1, 400);

    private final PromptMemory mMemory = new PromptMemory();

    private static WorkSize work(final long session) {
        return new WorkSize(600, 100, 300, List.of(SYSTEM, new PromptPart(session, session, 200)));
    }

    @Test
    void holdsTheLeadingPartsOnly() {
        mMemory.onPrefill(work(2), CAPACITY, 0);
        assertThat(mMemory.heldTokens(work(2), 0)).isEqualTo(600);
        assertThat(mMemory.heldTokens(work(3), 0)).isEqualTo(400);
        final WorkSize other = new WorkSize(200, 1, 0, List.of(new PromptPart(9, 9, 200)));
        assertThat(mMemory.heldTokens(other, 0)).isZero();
    }

    /** An unbounded estimate expects prompts that the engine evicted long ago. */
    @Test
    void evictsTheLeastRecentlyUsedPartsBeyondItsCapacity() {
        for (long session = 2; session <= 6; session++) {
            mMemory.onPrefill(work(session), CAPACITY, session);
        }
        assertThat(mMemory.heldTokens(work(2), 6)).isEqualTo(400);
        assertThat(mMemory.heldTokens(work(3), 6)).isEqualTo(400);
        assertThat(mMemory.heldTokens(work(4), 6)).isEqualTo(600);
        assertThat(mMemory.heldTokens(work(6), 6)).isEqualTo(600);
    }

    /** A prompt that is larger than the memory must not leave a negative or growing size. */
    @Test
    void evictsThePartsThatDoNotFitFromTheEndOfThePrompt() {
        mMemory.onPrefill(work(2), 500, 0);
        assertThat(mMemory.heldTokens(work(2), 0)).isEqualTo(400);
        mMemory.onPrefill(work(2), 100, 0);
        assertThat(mMemory.heldTokens(work(2), 0)).isZero();
        mMemory.onPrefill(work(2), 600, 0);
        assertThat(mMemory.heldTokens(work(2), 0)).isEqualTo(600);
    }

    /** Requests of other daemons evict parts without the knowledge of this one. */
    @Test
    void endsWithTime() {
        mMemory.onPrefill(work(2), CAPACITY, 0);
        assertThat(mMemory.heldTokens(work(2), 25 * SECOND)).isEqualTo(600);
        assertThat(mMemory.heldTokens(work(2), 26 * SECOND)).isZero();
    }
}
