package io.persimmonreel.core.ratelimit;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class AdvertisedRateLimitTest {
    private static final long SECOND = TimeUnit.SECONDS.toNanos(1);
    private static final long TICK = TimeUnit.MILLISECONDS.toNanos(10);

    /** The users' rule: one and a half times the limit, plus 5, in any 4 s. */
    private static final long WINDOW = 4 * SECOND;

    private static double allowed(final double perSecond) {
        return 1.5 * 4 * perSecond + 5;
    }

    private static RateLimitStatement stated(final double perSecond) {
        return new RateLimitStatement(RateLimitStatement.Kind.STATED, perSecond);
    }

    /** Plays daemons that all want to send, and returns when requests reach the replica. */
    private static List<Long> play(
            final int daemons, final double perSecond, final long idleNanos, final long endNanos) {
        final List<String> names = new ArrayList<>();
        for (int i = 0; i < daemons; i++) {
            names.add("daemon-" + i);
        }
        final List<Double> shares =
                names.stream()
                        .map(name -> RateShares.of(name, names, 1).share(42, perSecond))
                        .toList();
        final List<AdvertisedRateLimit> limits = new ArrayList<>();
        names.forEach(name -> limits.add(new AdvertisedRateLimit()));
        limits.forEach(limit -> limit.onResponse(stated(perSecond), 0, 0));
        final List<Long> sends = new ArrayList<>();
        for (long now = idleNanos; now < endNanos; now += TICK) {
            for (int i = 0; i < daemons; i++) {
                final double share = shares.get(i);
                if (share > 0 && limits.get(i).waitMillis(share, now) <= 0) {
                    limits.get(i).onSent(share, now);
                    limits.get(i).onResponse(stated(perSecond), now, now);
                    sends.add(now);
                }
            }
        }
        return sends;
    }

    private static long mostInWindow(final List<Long> sends) {
        long most = 0;
        for (final long from : sends) {
            final long inWindow =
                    sends.stream().filter(at -> at >= from && at < from + WINDOW).count();
            most = Math.max(most, inWindow);
        }
        return most;
    }

    @Nested
    class Requests {
        @ParameterizedTest
        @CsvSource({
            "1, 2.3",
            "6, 2.3",
            "6, 0.5",
            "6, 0.2",
            "6, 0",
            "8, 12.5",
            "95, 2.3",
            "95, 0.1",
            "95, 40",
            "880, 2.3",
            "880, 0"
        })
        void ofAllDaemonsTogetherStayWithinTheLimit(final int daemons, final double perSecond) {
            assertThat(mostInWindow(play(daemons, perSecond, 0, 60 * SECOND)))
                    .isLessThanOrEqualTo((long) allowed(perSecond));
        }

        @ParameterizedTest
        @CsvSource({"6, 2.3", "95, 2.3", "95, 0.1", "880, 40"})
        void afterAnIdleTimeStayWithinTheLimit(final int daemons, final double perSecond) {
            assertThat(mostInWindow(play(daemons, perSecond, 100 * SECOND, 120 * SECOND)))
                    .isLessThanOrEqualTo((long) allowed(perSecond));
        }

        @ParameterizedTest
        @CsvSource({"1, 2.3", "6, 2.3", "95, 2.3", "95, 40"})
        void useMostOfTheLimit(final int daemons, final double perSecond) {
            assertThat(play(daemons, perSecond, 0, 60 * SECOND))
                    .hasSizeGreaterThan((int) (0.8 * perSecond * 60));
        }

        @Test
        void areTriedNowAndThenIfTheLimitIsZero() {
            assertThat(play(6, 0, 0, 120 * SECOND)).hasSizeBetween(5, 15);
        }
    }

    @Nested
    class Limit {
        private final AdvertisedRateLimit mLimit = new AdvertisedRateLimit();

        @Test
        void allowsEverythingBeforeItIsStated() {
            mLimit.onSent(1, 0);
            assertThat(mLimit.waitMillis(1, 0)).isZero();
        }

        @Test
        void holdsUntilAResponseToALaterRequestStatesNone() {
            mLimit.onResponse(stated(2), SECOND, 2 * SECOND);
            assertThat(mLimit.onResponse(RateLimitStatement.NONE, SECOND, 3 * SECOND)).isFalse();
            assertThat(mLimit.isStated()).isTrue();
            assertThat(mLimit.onResponse(RateLimitStatement.NONE, 2 * SECOND, 3 * SECOND)).isTrue();
            assertThat(mLimit.isStated()).isFalse();
        }

        @Test
        void isLiftedGradually() {
            mLimit.onResponse(stated(1), 0, 0);
            mLimit.onResponse(RateLimitStatement.NONE, SECOND, SECOND);
            int sent = 0;
            for (long now = SECOND; now < 2 * SECOND; now += TICK) {
                if (mLimit.waitMillis(1, now) <= 0) {
                    mLimit.onSent(1, now);
                    sent++;
                }
            }
            assertThat(sent).isBetween(1, 3);
            assertThat(mLimit.waitMillis(1, 7 * SECOND)).isZero();
            mLimit.onSent(1, 7 * SECOND);
            assertThat(mLimit.waitMillis(1, 7 * SECOND)).isZero();
        }

        @Test
        void staysIfItCannotBeRead() {
            mLimit.onResponse(stated(1), 0, 0);
            mLimit.onResponse(RateLimitStatement.UNREADABLE, SECOND, SECOND);
            assertThat(mLimit.isStated()).isTrue();
        }

        @Test
        void givesNoBurstWhenItRises() {
            mLimit.onResponse(stated(1), 0, 0);
            mLimit.waitMillis(1, 30 * SECOND);
            mLimit.onResponse(stated(3), 30 * SECOND, 30 * SECOND);
            mLimit.onSent(1, 30 * SECOND);
            assertThat(mLimit.waitMillis(1, 30 * SECOND)).isPositive();
        }
    }

    @Nested
    class ReportsOfPeers {
        private final AdvertisedRateLimit mLimit = new AdvertisedRateLimit();

        @Test
        void limitADaemonBeforeItsOwnResponse() {
            assertThat(mLimit.onPeerReport(true, 2, SECOND, SECOND)).isTrue();
            assertThat(mLimit.waitMillis(1, SECOND)).isPositive();
        }

        @Test
        void endALimitForDaemonsWithoutAShare() {
            mLimit.onResponse(stated(0.1), 0, 0);
            assertThat(mLimit.waitMillis(0, SECOND)).isInfinite();
            assertThat(mLimit.onPeerReport(false, 0.1, 2 * SECOND, 2 * SECOND)).isTrue();
            assertThat(mLimit.waitMillis(0.01, 8 * SECOND)).isZero();
        }

        @Test
        void thatAreOlderThanWhatIsKnownChangeNothing() {
            mLimit.onResponse(stated(2), 0, 10 * SECOND);
            assertThat(mLimit.onPeerReport(false, 2, 9 * SECOND, 11 * SECOND)).isFalse();
            mLimit.onResponse(RateLimitStatement.NONE, 12 * SECOND, 13 * SECOND);
            assertThat(mLimit.onPeerReport(true, 2, 12 * SECOND, 14 * SECOND)).isFalse();
            assertThat(mLimit.isStated()).isFalse();
        }

        @Test
        void thatAreNotHeardAnyMoreFreeOnlyADaemonWithoutAShare() {
            mLimit.onPeerReport(true, 0.1, 0, 0);
            mLimit.waitMillis(0.5, 40 * SECOND);
            assertThat(mLimit.isStated()).isTrue();
            mLimit.onPeerReport(true, 0.1, 0, 40 * SECOND);
            mLimit.waitMillis(0, 69 * SECOND);
            assertThat(mLimit.isStated()).isTrue();
            mLimit.waitMillis(0, 70 * SECOND);
            assertThat(mLimit.isStated()).isFalse();
        }

        @Test
        void withoutAValidLimitAreIgnored() {
            assertThat(mLimit.onPeerReport(true, Double.NaN, SECOND, SECOND)).isFalse();
            assertThat(mLimit.onPeerReport(true, -1, SECOND, SECOND)).isFalse();
        }
    }

    @Nested
    class Statement {
        @ParameterizedTest
        @ValueSource(
                strings = {"", "-1", "NaN", "Infinity", "1e3", "0x2", "two", "1,5", "9999999999"})
        void ofNoDecimalNumberIsUnreadable(final String value) {
            assertThat(RateLimitStatement.parse(List.of(value)))
                    .isEqualTo(RateLimitStatement.UNREADABLE);
        }

        @ParameterizedTest
        @ValueSource(strings = {"0", "2", "2.3", " 2.3 ", ".5", "2."})
        void ofADecimalNumberIsRead(final String value) {
            assertThat(RateLimitStatement.parse(List.of(value)).kind())
                    .isEqualTo(RateLimitStatement.Kind.STATED);
        }

        @Test
        void thatComesTwiceIsTheLower() {
            assertThat(RateLimitStatement.parse(List.of("7", "x", "2.3")).perSecond())
                    .isEqualTo(2.3);
        }

        @Test
        void thatIsMissingIsNone() {
            assertThat(RateLimitStatement.parse(List.of())).isEqualTo(RateLimitStatement.NONE);
        }
    }
}
