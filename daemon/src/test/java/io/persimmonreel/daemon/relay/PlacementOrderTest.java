package io.persimmonreel.daemon.relay;

import static org.assertj.core.api.Assertions.assertThat;

import io.persimmonreel.core.admission.OverloadOrder;
import io.persimmonreel.core.admission.OverloadOrder.Candidate;
import io.persimmonreel.core.admission.RunForecast;
import io.persimmonreel.core.admission.TimeLeft;
import io.persimmonreel.core.placement.UpstreamCapacity;
import io.persimmonreel.daemon.log.EventLog;
import io.persimmonreel.daemon.time.SystemTimeSource;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class PlacementOrderTest {
    private static final String UPSTREAM = "app";
    private static final double DEADLINE_MILLIS = 5_000;
    private static final double FIRST_MILLIS = 50;

    private final ByteArrayOutputStream mOut = new ByteArrayOutputStream();
    private final EventLog mLog =
            new EventLog("test", new SystemTimeSource(), new PrintStream(mOut, true));
    private final RelayMetrics mMetrics = new RelayMetrics();
    private final PlacementOrder mOrder =
            new PlacementOrder(
                    new RelayLog(
                            mLog,
                            mMetrics,
                            new ExchangeLog(mLog, mMetrics),
                            new QuotaUseLog(mLog, mMetrics, 0)));
    private final Candidate<WaitingRequest> mLarge = candidate(100, 900);
    private final Candidate<WaitingRequest> mSmall = candidate(150, 100);

    private static Candidate<WaitingRequest> candidate(
            final double punctualMillis, final double slotMillis) {
        final RunForecast run = new RunForecast(FIRST_MILLIS, slotMillis);
        return Candidate.of(
                new WaitingRequest(null, run),
                new TimeLeft(punctualMillis + FIRST_MILLIS, DEADLINE_MILLIS, DEADLINE_MILLIS),
                run,
                0);
    }

    private static PlacementPass pass(final int slots) {
        return new PlacementPass(new UpstreamCapacity(slots, 500, 0), false, 8);
    }

    private static long nanos(final long millis) {
        return TimeUnit.MILLISECONDS.toNanos(millis);
    }

    private List<WaitingRequest> arrange(final int slots, final long millis) {
        return mOrder.arrange(
                UPSTREAM,
                OverloadOrder.bySoonestStart(List.of(mSmall, mLarge)),
                pass(slots),
                nanos(millis));
    }

    private String log() {
        mLog.close();
        return mOut.toString(StandardCharsets.UTF_8);
    }

    private String metrics() throws IOException {
        return new String(mMetrics.write(), StandardCharsets.UTF_8);
    }

    @Nested
    class TheOrder {
        @Test
        void isBySoonestStartWhileAllFit() {
            assertThat(arrange(100, 0)).containsExactly(mLarge.request(), mSmall.request());
            assertThat(log()).isEmpty();
        }

        @Test
        void defersWhatDoesNotFit() {
            assertThat(arrange(1, 0)).containsExactly(mSmall.request(), mLarge.request());
        }

        /** It is not known then which requests can be on time. */
        @Test
        void isBySoonestStartIfNoReplicaTakesRequests() {
            assertThat(arrange(0, 0)).containsExactly(mLarge.request(), mSmall.request());
        }
    }

    /** Guards against a line for each of the many passes of an overload. */
    @Nested
    class APeriod {
        @Test
        void isLoggedAndCountedOnceWhenItBeginsAndEnds() throws IOException {
            for (long millis = 0; millis <= 2_000; millis += 40) {
                arrange(1, millis);
                mOrder.onTimer(nanos(millis));
            }
            mOrder.onTimer(nanos(2_900));
            assertThat(metrics()).doesNotContain("event=\"ended\"");
            mOrder.onTimer(nanos(3_000));
            mOrder.onTimer(nanos(9_000));
            assertThat(metrics())
                    .contains(
                            "persimmonreel_relay_overloads_total{event=\"began\",upstream=\"app\"}"
                                    + " 1.0",
                            "persimmonreel_relay_overloads_total{event=\"ended\",upstream=\"app\"}"
                                    + " 1.0");
            assertThat(log())
                    .containsOnlyOnce("\"event\":\"began\"")
                    .contains("\"waiting\":2", "\"deferred\":1")
                    .containsOnlyOnce("\"event\":\"ended\"")
                    .contains("\"for_ms\":2000", "\"most_deferred\":1");
        }
    }
}
