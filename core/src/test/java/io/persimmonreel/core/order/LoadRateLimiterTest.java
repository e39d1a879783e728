package io.persimmonreel.core.order;

import static org.assertj.core.api.Assertions.assertThat;

import io.persimmonreel.core.peer.Incarnation;
import io.persimmonreel.core.time.ManualTime;
import io.persimmonreel.core.time.TimeSource;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class LoadRateLimiterTest {
    private static final int RATE = 6;
    private static final int MEMBERS = 7;
    private static final Duration SKEW = Duration.ofSeconds(2);

    private final ManualTime mTime = new ManualTime();
    private final List<Incarnation> mMembers = new ArrayList<>();
    private final List<LoadRateLimiter> mLimiters = new ArrayList<>();
    private final List<Long> mLoadStarts = new ArrayList<>();

    LoadRateLimiterTest() {
        for (int i = 0; i < MEMBERS; i++) {
            mMembers.add(new Incarnation(i));
            mLimiters.add(limiter(i));
        }
        setMembers(0, MEMBERS);
    }

    private LoadRateLimiter limiter(final int member) {
        return new LoadRateLimiter(
                mMembers.get(member), new Skewed(mTime, member % 2 == 0 ? 1_000 : -1_000));
    }

    private record Skewed(TimeSource time, long millis) implements TimeSource {
        @Override
        public long monotonicNanos() {
            return time.monotonicNanos();
        }

        @Override
        public long wallMillis() {
            return time.wallMillis() + millis;
        }
    }

    /** Makes the members of a range see exactly each other. */
    private void setMembers(final int from, final int to) {
        for (int i = from; i < to; i++) {
            mLimiters.get(i).updateMembers(mMembers.subList(from, to), 0);
        }
    }

    /** Lets every member start a load whenever it may. */
    private void run(final Duration duration) {
        final long end = mTime.monotonicNanos() + duration.toNanos();
        while (mTime.monotonicNanos() < end) {
            mTime.advance(Duration.ofMillis(100));
            for (final LoadRateLimiter limiter : mLimiters) {
                if (limiter.tryAcquire(RATE, SKEW)) {
                    mLoadStarts.add(mTime.monotonicNanos());
                }
            }
        }
    }

    private long mostInAMinute() {
        final long minute = Duration.ofMinutes(1).toNanos();
        return mLoadStarts.stream()
                .mapToLong(
                        start ->
                                mLoadStarts.stream()
                                        .filter(load -> load >= start && load < start + minute)
                                        .count())
                .max()
                .orElse(0);
    }

    @Nested
    class ConsistentMembership {
        /** Guards against all members starting a load at once after a time without loads. */
        @Test
        void keepsTheRateInEveryMinute() {
            run(Duration.ofMinutes(30));
            assertThat(mostInAMinute()).isLessThanOrEqualTo(RATE);
            assertThat(mLoadStarts).as("the rate is used").hasSizeGreaterThan(RATE * 25);
        }

        /** Guards against a slot with an old and a new owner when the members change. */
        @Test
        void keepsTheRateWhenMembersLearnOfAChangeWithinSeconds() {
            for (int change = 1; change <= 20; change++) {
                final int members = MEMBERS - change % 2;
                if (members == MEMBERS) {
                    mLimiters.add(limiter(members - 1));
                } else {
                    mLimiters.remove(members);
                }
                for (int i = 0; i < members; i++) {
                    mLimiters.get(i).updateMembers(mMembers.subList(0, members), 0);
                    run(Duration.ofMillis(700));
                }
                run(Duration.ofSeconds(30));
            }
            assertThat(mostInAMinute()).isLessThanOrEqualTo(RATE);
            assertThat(mLoadStarts).isNotEmpty();
        }
    }

    @Nested
    class Partition {
        /** Guards against more than one load for each side of a partition in each slot. */
        @Test
        void multipliesTheRateByAtMostTheNumberOfSides() {
            setMembers(0, 3);
            setMembers(3, MEMBERS);
            run(Duration.ofMinutes(30));
            setMembers(0, MEMBERS);
            run(Duration.ofMinutes(5));
            assertThat(mostInAMinute()).isBetween(RATE + 1L, 2L * RATE);
        }
    }
}
