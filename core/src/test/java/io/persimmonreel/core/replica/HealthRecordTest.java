package io.persimmonreel.core.replica;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class HealthRecordTest {
    private static final long SECOND = TimeUnit.SECONDS.toNanos(1);
    private final HealthRecord mHealth = new HealthRecord();

    @Test
    void ejectsReplicaAfterThreeConsecutiveFailures() {
        assertThat(mHealth.onFailure(0)).isFalse();
        assertThat(mHealth.onFailure(0)).isFalse();
        assertThat(mHealth.onFailure(0)).isTrue();
        assertThat(mHealth.isEjected(0)).isTrue();
        assertThat(mHealth.isEjected(SECOND)).isFalse();
    }

    /** A replica that fails again after an ejection is ejected for twice as long. */
    @Test
    void doublesEjectionTimeOfReplicaThatKeepsFailing() {
        for (int i = 0; i < 3; i++) {
            mHealth.onFailure(0);
        }
        mHealth.onFailure(SECOND);
        assertThat(mHealth.isEjected(2 * SECOND)).isTrue();
        assertThat(mHealth.isEjected(3 * SECOND)).isFalse();
    }

    @Test
    void endsProbationAfterSuccess() {
        for (int i = 0; i < 3; i++) {
            mHealth.onFailure(0);
        }
        assertThat(mHealth.isOnProbation()).isTrue();
        mHealth.onSuccess();
        assertThat(mHealth.isOnProbation()).isFalse();
    }

    /** A healthy service answers some requests with errors. */
    @Test
    void keepsReplicaWithFewErrorResponses() {
        for (int i = 0; i < 100; i++) {
            if (i % 7 == 0) {
                mHealth.onErrorResponse(0);
            } else {
                mHealth.onSuccess();
            }
        }
        assertThat(mHealth.isEjected(0)).isFalse();
    }

    /** A replica that fails most requests while its health check passes is ejected. */
    @Test
    void ejectsReplicaWithMostlyErrorResponses() {
        boolean ejected = false;
        for (int i = 0; i < 20; i++) {
            if (i % 4 == 0) {
                mHealth.onSuccess();
            } else {
                ejected |= mHealth.onErrorResponse(0);
            }
        }
        assertThat(ejected).isTrue();
    }

    @Test
    void ejectsUnreachableReplicaAtOnce() {
        assertThat(mHealth.onUnreachable(0)).isTrue();
    }

    @Test
    void isUnreachableUntilASuccessForTenSecondsAtMost() {
        mHealth.onUnreachable(0);
        assertThat(mHealth.isUnreachable(9 * SECOND)).isTrue();
        assertThat(mHealth.isUnreachable(10 * SECOND)).isFalse();
        mHealth.onSuccess();
        assertThat(mHealth.isUnreachable(SECOND)).isFalse();
    }

    @Test
    void ejectsMisdirectedReplicaWhichIsNotUnreachable() {
        assertThat(mHealth.onMisdirected(0)).isTrue();
        assertThat(mHealth.isUnreachable(0)).isFalse();
    }
}
