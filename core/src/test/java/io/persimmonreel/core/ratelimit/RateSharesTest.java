package io.persimmonreel.core.ratelimit;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class RateSharesTest {
    private static final int DAEMONS = 59;
    private static final int SHARING = 8;
    private static final long REPLICA = 42;

    private static List<String> names() {
        final List<String> names = new ArrayList<>();
        for (int i = 0; i < DAEMONS; i++) {
            names.add("daemon-" + i);
        }
        return names;
    }

    private static long sharing(final int namesEachLacks) {
        final List<String> names = names();
        return names.stream()
                .filter(
                        self -> {
                            final List<String> known = new ArrayList<>(names);
                            final int from = names.indexOf(self);
                            for (int i = 1; i <= namesEachLacks; i++) {
                                known.remove(names.get((from + i) % DAEMONS));
                            }
                            return RateShares.of(self, known, DAEMONS).shareAmong(REPLICA, SHARING)
                                    > 0;
                        })
                .count();
    }

    @Nested
    class ShareAmongAGivenNumber {
        @Test
        void isEqualForAllOfASmallFleet() {
            assertThat(RateShares.of("a", List.of("b", "c"), 3).shareAmong(REPLICA, SHARING))
                    .isEqualTo(1.0 / 3);
        }

        @Test
        void belongsToThatManyDaemonsOfALargeFleet() {
            assertThat(sharing(0)).isEqualTo(SHARING);
        }

        /** Guards against more daemons with a share while some know only a part of the fleet. */
        @Test
        void belongsToNoMoreDaemonsIfNamesAreMissing() {
            for (int lacks = 1; lacks < DAEMONS; lacks++) {
                assertThat(sharing(lacks)).isLessThanOrEqualTo(SHARING);
            }
        }

        @Test
        void isDroppedStepByStepIfNamesAreMissing() {
            assertThat(sharing(1)).isBetween(SHARING - 1L, (long) SHARING);
            assertThat(sharing(DAEMONS - 1)).isZero();
        }
    }
}
