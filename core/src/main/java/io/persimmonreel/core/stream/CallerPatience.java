package io.persimmonreel.core.stream;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Estimates for how long callers of a route wait, all their attempts together, from the longest
 * time that a request declared. Not thread safe.
 */
public final class CallerPatience {
    /** The maximum number of routes; the eldest are forgotten first. */
    private static final int MAXIMUM_ROUTES = 4_096;

    /** The patience that is assumed for a route without requests, in milliseconds. */
    private static final long TYPICAL_MILLIS = 15_000;

    private final Map<String, Long> mLongestMillis =
            new LinkedHashMap<>() {
                private static final long serialVersionUID = 1L;

                @Override
                protected boolean removeEldestEntry(final Map.Entry<String, Long> eldest) {
                    return size() > MAXIMUM_ROUTES;
                }
            };

    /**
     * Records a request.
     *
     * @param route the name of its route
     * @param declaredMillis the time that the caller still waits, in milliseconds, negative if it
     *     does not tell
     */
    public void onRequest(final String route, final long declaredMillis) {
        if (declaredMillis > 0) {
            mLongestMillis.merge(route, declaredMillis, Math::max);
        }
    }

    /**
     * Returns the longest time since the first attempt of a request.
     *
     * @param route the name of its route
     * @param timeoutMillis the longest time of an attempt on the route, in milliseconds
     * @param declaredMillis the time that the caller still waits, in milliseconds, negative if it
     *     does not tell
     * @return the time in milliseconds, not negative
     */
    public long ageMillis(final String route, final long timeoutMillis, final long declaredMillis) {
        final Long declaredBefore = mLongestMillis.get(route);
        final long longestMillis =
                declaredBefore == null ? Math.max(timeoutMillis, TYPICAL_MILLIS) : declaredBefore;
        return Math.max(0, longestMillis - Math.max(0, declaredMillis));
    }
}
