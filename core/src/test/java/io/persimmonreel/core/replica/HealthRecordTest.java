package io.persimmonreel.core.replica;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class HealthRecordTest {
    private static final long SECOND = TimeUnit.SECONDS.toNanos(1);
    private final HealthRecord mHealth = new HealthRecord();

    @Test
    void avoidsAReplicaAfterThreeFailuresInARow() {
        assertThat(mHealth.onFailure(0)).isFalse();
        assertThat(mHealth.onFailure(0)).isFalse();
        assertThat(mHealth.onFailure(0)).isTrue();
        assertThat(mHealth.isEjected(0)).isTrue();
        assertThat(mHealth.isEjected(SECOND)).isFalse();
    }

    /** A replica that fails again after its pause is avoided for longer each time. */
    @Test
    void doublesThePauseOfAReplicaThatKeepsFailing() {
        for (int i = 0; i < 3; i++) {
            mHealth.onFailure(0);
        }
        mHealth.onFailure(SECOND);
        assertThat(mHealth.isEjected(2 * SECOND)).isTrue();
        assertThat(mHealth.isEjected(3 * SECOND)).isFalse();
    }

    @Test
    void isWellAgainAfterSuccesses() {
        for (int i = 0; i < 3; i++) {
            mHealth.onFailure(0);
        }
        assertThat(mHealth.isOnProbation()).isTrue();
        mHealth.onSuccess();
        assertThat(mHealth.isOnProbation()).isFalse();
    }

    /** Services answer some requests with errors by themselves, which says little of them. */
    @Test
    void keepsAReplicaWithAFewErrorAnswers() {
        for (int i = 0; i < 100; i++) {
            if (i % 7 == 0) {
                mHealth.onErrorAnswer(0);
            } else {
                mHealth.onSuccess();
            }
        }
        assertThat(mHealth.isEjected(0)).isFalse();
    }

    /** A grey replica that fails most requests while its health check is good is avoided. */
    @Test
    void avoidsAReplicaThatMostlyAnswersErrors() {
        boolean avoided = false;
        for (int i = 0; i < 20; i++) {
            if (i % 4 == 0) {
                mHealth.onSuccess();
            } else {
                avoided |= mHealth.onErrorAnswer(0);
            }
        }
        assertThat(avoided).isTrue();
    }

    @Test
    void avoidsAnUnreachableReplicaAtOnce() {
        assertThat(mHealth.onUnreachable(0)).isTrue();
    }
}
