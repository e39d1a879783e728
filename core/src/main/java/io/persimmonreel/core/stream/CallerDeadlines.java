package io.persimmonreel.core.stream;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Estimates for how long callers of a route wait, all their attempts together, from the longest
 * time that a request declared. Not thread safe.
 */
public final class CallerDeadlines {
    /** The maximum number of routes; the eldest are forgotten first. */
    private static final int MAXIMUM_ROUTES = 4_096;

    /** The time that is assumed for a route that was not observed, in milliseconds. */
    private static final long TYPICAL_MILLIS = 15_000;

    /** The time after which the requests of a route show how long its callers wait. */
    private static final long OBSERVATION_NANOS = TimeUnit.SECONDS.toNanos(10);

    private final Map<String, Longest> mLongest =
            new LinkedHashMap<>() {
                private static final long serialVersionUID = 1L;

                @Override
                protected boolean removeEldestEntry(final Map.Entry<String, Longest> eldest) {
                    return size() > MAXIMUM_ROUTES;
                }
            };

    /** Holds the longest declared time and when the first one was declared. */
    private record Longest(long millis, long sinceNanos) {}

    /**
     * Records a request.
     *
     * @param route the name of its route
     * @param declaredMillis the time that the caller still waits, in milliseconds, negative if it
     *     does not tell
     * @param nowNanos the current monotonic time in nanoseconds
     */
    public void onRequest(final String route, final long declaredMillis, final long nowNanos) {
        if (declaredMillis > 0) {
            mLongest.merge(
                    route,
                    new Longest(declaredMillis, nowNanos),
                    (known, other) ->
                            new Longest(
                                    Math.max(known.millis(), other.millis()), known.sinceNanos()));
        }
    }

    /**
     * Returns the longest time since the first attempt of a request.
     *
     * @param route the name of its route
     * @param timeoutMillis the longest time of an attempt on the route, in milliseconds
     * @param declaredMillis the time that the caller still waits, in milliseconds, negative if it
     *     does not tell
     * @param nowNanos the current monotonic time in nanoseconds
     * @return the time in milliseconds, not negative
     */
    public long ageMillis(
            final String route,
            final long timeoutMillis,
            final long declaredMillis,
            final long nowNanos) {
        final Longest longest = mLongest.get(route);
        final long declaredBefore = longest == null ? 0 : longest.millis();
        final boolean isObserved =
                longest != null && nowNanos - longest.sinceNanos() >= OBSERVATION_NANOS;
        final long longestMillis =
                isObserved
                        ? declaredBefore
                        : Math.max(declaredBefore, Math.max(timeoutMillis, TYPICAL_MILLIS));
        return Math.max(0, longestMillis - Math.max(0, declaredMillis));
    }
}
