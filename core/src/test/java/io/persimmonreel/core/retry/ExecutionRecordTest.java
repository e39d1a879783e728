package io.persimmonreel.core.retry;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalStateException;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class ExecutionRecordTest {
    private final ExecutionRecord mRecord = new ExecutionRecord();

    @Nested
    class MayHaveRun {
        @Test
        void isFalseBeforeTheFirstSend() {
            assertThat(mRecord.mayHaveRun()).isFalse();
        }

        @Test
        void isTrueWhileAReplicaHasTheRequest() {
            mRecord.onSent();
            assertThat(mRecord.mayHaveRun()).isTrue();
        }

        @Test
        void isFalseAfterTheProofOfTheContrary() {
            mRecord.onSent();
            mRecord.onProvenNotRun();
            assertThat(mRecord.mayHaveRun()).isFalse();
        }

        @Test
        void isTrueIfOneOfTwoSendsIsUnproven() {
            mRecord.onSent();
            mRecord.onSent();
            mRecord.onProvenNotRun();
            assertThat(mRecord.mayHaveRun()).isTrue();
        }
    }

    @Nested
    class OnProvenNotRun {
        @Test
        void needsAnUnprovenSend() {
            assertThatIllegalStateException().isThrownBy(mRecord::onProvenNotRun);
        }
    }
}
