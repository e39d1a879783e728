package io.persimmonreel.core.stream;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class CallerDeadlinesTest {
    private static final String ROUTE = "route";
    private static final long TIMEOUT_MILLIS = 12_000;
    private static final long START = TimeUnit.SECONDS.toNanos(100);
    private static final long OBSERVED = START + TimeUnit.SECONDS.toNanos(10);

    private final CallerDeadlines mDeadlines = new CallerDeadlines();

    private long age(final long declaredMillis, final long nowNanos) {
        return mDeadlines.ageMillis(ROUTE, TIMEOUT_MILLIS, declaredMillis, nowNanos);
    }

    @Nested
    class WithoutRequests {
        @Test
        void assumesATypicalDeadline() {
            assertThat(age(5_000, START)).isEqualTo(10_000);
        }

        @Test
        void assumesTheTimeoutOfTheRouteIfThatIsLonger() {
            assertThat(mDeadlines.ageMillis(ROUTE, 60_000, 5_000, START)).isEqualTo(55_000);
        }
    }

    @Nested
    class WithRequests {
        @BeforeEach
        void receive() {
            mDeadlines.onRequest(ROUTE, 2_000, START);
            mDeadlines.onRequest(ROUTE, 9_000, START);
            mDeadlines.onRequest(ROUTE, -1, START);
        }

        /** Guards against an age that is too short while only late attempts were seen. */
        @Test
        void assumesATypicalDeadlineAtFirst() {
            assertThat(age(5_000, OBSERVED - 1)).isEqualTo(10_000);
        }

        @Test
        void usesTheLongestDeclaredTimeLater() {
            assertThat(age(5_000, OBSERVED)).isEqualTo(4_000);
        }

        @Test
        void usesAllOfItForACallerThatDeclaresNone() {
            assertThat(age(-1, OBSERVED)).isEqualTo(9_000);
        }

        @Test
        void isNotNegative() {
            assertThat(age(12_000, OBSERVED)).isZero();
        }
    }
}
