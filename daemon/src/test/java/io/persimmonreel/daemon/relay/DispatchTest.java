package io.persimmonreel.daemon.relay;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import io.persimmonreel.core.placement.CachedPrompt;
import io.persimmonreel.core.placement.Placement.Choice;
import io.persimmonreel.core.replica.Replica;
import io.persimmonreel.core.replica.ReplicaEntry;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class DispatchTest {
    private static final double MICROS_PER_TOKEN = 16;

    private final Replica mReplica =
            new Replica(new ReplicaEntry("r0", "app", "127.0.0.1", 1, "zone", 10, false, 1));

    private Dispatch dispatch(final int tokens) {
        return new Dispatch(new Choice(mReplica, 0, 0, 0, tokens, 0, 0, 0, CachedPrompt.NONE), 0);
    }

    /** Ends the prefill of a dispatch after a number of tokens was read. */
    private static void begin(final Dispatch dispatch, final int tokens) {
        dispatch.onEvent(TimeUnit.MICROSECONDS.toNanos((long) (tokens * MICROS_PER_TOKEN)));
        dispatch.recordFirstEvent();
    }

    @Nested
    class ThePrefillTimeOfAReplica {
        @Test
        void isMeasuredByThePromptOfTheRequest() {
            begin(dispatch(10_000), 10_000);
            assertThat(mReplica.prefillTokenMicros(0)).isCloseTo(MICROS_PER_TOKEN, within(1e-6));
        }

        @Test
        void doesNotContainThePromptsThatAreReadBefore() {
            dispatch(48_000);
            begin(dispatch(2_000), 50_000);
            assertThat(mReplica.prefillTokenMicros(0)).isCloseTo(MICROS_PER_TOKEN, within(1e-6));
        }
    }
}
