package io.persimmonreel.core.objective;

import io.persimmonreel.core.config.Configuration;
import io.persimmonreel.core.config.ConfigurationListener;
import io.persimmonreel.core.service.ObjectiveSpec;
import io.persimmonreel.core.service.ServiceSpec;
import io.persimmonreel.core.service.Tier;
import io.persimmonreel.core.time.TimeSource;
import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;

/**
 * Counts requests of this daemon against the objectives of their services. Thread safe; counting
 * never blocks.
 */
public final class ObjectiveTracker implements ConfigurationListener {
    private final TimeSource mTime;
    private final Map<Key, Series> mSeries = new ConcurrentHashMap<>();
    private final LongAdder mPrefillTokens = new LongAdder();
    private final LongAdder mWastedTokens = new LongAdder();

    private record Key(String service, Tier tier) {}

    /** Holds the counts of a service and tier, and the target in force at the last request. */
    private static final class Series {
        private final SlidingWindowCounter mCounter = new SlidingWindowCounter();
        private volatile double mTarget;
    }

    /**
     * Creates a tracker.
     *
     * @param time the clocks
     */
    public ObjectiveTracker(final TimeSource time) {
        mTime = time;
    }

    /** Drops the counts of services that are no longer configured. */
    @Override
    public void onConfiguration(final Configuration configuration) {
        mSeries.keySet().removeIf(key -> !configuration.services().containsKey(key.service()));
    }

    /**
     * Counts a request that got its whole response.
     *
     * @param service the service, as configured when the request arrived
     * @param tier the tier of the request
     * @param firstToken the time to the first token, or to the response of a plain service
     * @param betweenTokens the mean time between tokens, zero for a plain service
     * @param complete the time to the end of the response
     * @return true if the request met its objective
     */
    public boolean countAnswered(
            final ServiceSpec service,
            final Tier tier,
            final Duration firstToken,
            final Duration betweenTokens,
            final Duration complete) {
        final ObjectiveSpec objective = service.objective();
        final boolean tokensInTime =
                objective.betweenTokens().isZero()
                        || betweenTokens.compareTo(objective.betweenTokens()) <= 0;
        final boolean good =
                tokensInTime
                        && firstToken.compareTo(objective.firstToken()) <= 0
                        && complete.compareTo(objective.complete()) <= 0;
        count(service, tier, good);
        return good;
    }

    /**
     * Counts a request that failed, was late or was refused for lack of capacity. Requests that are
     * refused because of a caller's error, and requests that the caller gave up, are not counted.
     *
     * @param service the service, as configured when the request arrived
     * @param tier the tier of the request
     */
    public void countMissed(final ServiceSpec service, final Tier tier) {
        count(service, tier, false);
    }

    private void count(final ServiceSpec service, final Tier tier, final boolean good) {
        final Series series =
                mSeries.computeIfAbsent(new Key(service.id(), tier), key -> new Series());
        series.mTarget = service.objective().target();
        series.mCounter.add(mTime.monotonicNanos(), good);
    }

    /**
     * Counts prompt tokens sent to an engine.
     *
     * @param tokens the number of tokens, not negative
     */
    public void countPrefill(final long tokens) {
        mPrefillTokens.add(tokens);
    }

    /**
     * Counts prompt tokens, already counted as sent, whose request was restarted, discarded or
     * late.
     *
     * @param tokens the number of tokens, not negative
     */
    public void countWastedPrefill(final long tokens) {
        mWastedTokens.add(tokens);
    }

    /**
     * Reports the counts of this daemon.
     *
     * @return the report
     */
    public ObjectiveReport report() {
        final long now = mTime.monotonicNanos();
        final List<ServiceObjective> services = new ArrayList<>();
        mSeries.forEach((key, series) -> services.add(objective(key, series, now)));
        final long wasted = mWastedTokens.sum();
        return new ObjectiveReport(
                1, services, new PrefillCount(Math.max(wasted, mPrefillTokens.sum()), wasted));
    }

    private static ServiceObjective objective(
            final Key key, final Series series, final long nowNanos) {
        final Map<ObjectiveWindow, RequestCount> windows = new EnumMap<>(ObjectiveWindow.class);
        for (final ObjectiveWindow window : ObjectiveWindow.values()) {
            windows.put(window, series.mCounter.inWindow(nowNanos, window.length()));
        }
        return new ServiceObjective(
                key.service(), key.tier(), series.mTarget, series.mCounter.total(), windows);
    }
}
