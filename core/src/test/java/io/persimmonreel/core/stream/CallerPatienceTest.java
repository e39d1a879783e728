package io.persimmonreel.core.stream;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class CallerPatienceTest {
    private static final String ROUTE = "route";
    private static final long TIMEOUT_MILLIS = 12_000;

    private final CallerPatience mPatience = new CallerPatience();

    @Nested
    class WithoutRequests {
        @Test
        void assumesATypicalPatience() {
            assertThat(mPatience.ageMillis(ROUTE, TIMEOUT_MILLIS, 5_000)).isEqualTo(10_000);
        }

        @Test
        void assumesTheTimeoutOfTheRouteIfThatIsLonger() {
            assertThat(mPatience.ageMillis(ROUTE, 60_000, 5_000)).isEqualTo(55_000);
        }
    }

    @Nested
    class WithRequests {
        @BeforeEach
        void receive() {
            mPatience.onRequest(ROUTE, 9_000);
            mPatience.onRequest(ROUTE, 2_000);
            mPatience.onRequest(ROUTE, -1);
        }

        @Test
        void usesTheLongestDeclaredTime() {
            assertThat(mPatience.ageMillis(ROUTE, TIMEOUT_MILLIS, 5_000)).isEqualTo(4_000);
        }

        @Test
        void usesAllOfItForACallerThatDeclaresNone() {
            assertThat(mPatience.ageMillis(ROUTE, TIMEOUT_MILLIS, -1)).isEqualTo(9_000);
        }

        @Test
        void isNotNegative() {
            assertThat(mPatience.ageMillis(ROUTE, TIMEOUT_MILLIS, 12_000)).isZero();
        }
    }
}
