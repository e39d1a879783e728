package io.persimmonreel.core.quota;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class UseWindowTest {
    private static final long WINDOW = 1_600;

    private final UseWindow mWindow = new UseWindow(WINDOW, 0);

    @Nested
    class Total {
        @Test
        void countsUseOfTheWholeWindow() {
            mWindow.add(5, 0);
            mWindow.add(7, WINDOW);
            assertThat(mWindow.total(WINDOW)).isEqualTo(12);
        }

        @Test
        void dropsUseBeforeTheWindow() {
            mWindow.add(5, 0);
            assertThat(mWindow.total(WINDOW + WINDOW / 32)).isZero();
        }

        @Test
        void isZeroAfterALongPause() {
            mWindow.add(5, 0);
            assertThat(mWindow.total(WINDOW * 1_000_000)).isZero();
        }

        @Test
        void subtractsRefunds() {
            mWindow.add(5, 0);
            mWindow.add(-5, 10);
            assertThat(mWindow.total(20)).isZero();
        }
    }

    @Nested
    class NanosUntilAtMost {
        @Test
        void isZeroIfTheUseIsLowEnough() {
            mWindow.add(5, 0);
            assertThat(mWindow.nanosUntilAtMost(5, 100)).isZero();
        }

        @Test
        void isTheTimeUntilTheOldestUseLeavesTheWindow() {
            mWindow.add(5, 0);
            mWindow.add(7, 800);
            final long wait = mWindow.nanosUntilAtMost(7, 1_000);
            assertThat(mWindow.total(1_000 + wait - 1)).isEqualTo(12);
            assertThat(mWindow.total(1_000 + wait)).isEqualTo(7);
        }

        @Test
        void isAtMostTheWindow() {
            mWindow.add(5, 0);
            assertThat(mWindow.nanosUntilAtMost(-1, 0)).isEqualTo(WINDOW);
        }
    }
}
