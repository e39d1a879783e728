package io.persimmonreel.core.ratelimit;

/**
 * Decides what happens to a request none of whose replicas takes a request now, because they
 * advertise a rate limit and no permit is left or because they pushed requests back: it waits if it
 * can still be served in time, else its caller is told when to return.
 */
public final class RateLimitedWait {
    /** The fraction of the time until the latency objective that a request may wait. */
    private static final double PLANNED_SHARE = 0.8;

    /** The fraction of the time until the deadline that a request may wait that is late anyway. */
    private static final double LATE_SHARE = 0.1;

    /** Callers wait for at most this fraction of the time that they have left. */
    private static final double LONGEST_DELAY_SHARE = 1.0 / 3;

    private static final double SHORTEST_DELAY_MILLIS = 50;
    private static final double MILLIS_PER_SECOND = 1e3;

    private double mFirstMillis = Double.POSITIVE_INFINITY;
    private double mFirstOpenMillis = Double.POSITIVE_INFINITY;
    private double mPerSecond;
    private int mReplicas;

    /**
     * Adds a replica that only lacks a permit.
     *
     * @param permitMillis the time until this daemon's next permit, in milliseconds
     * @param perSecond the rate of this daemon's permits
     */
    public void add(final double permitMillis, final double perSecond) {
        add(0, permitMillis, perSecond);
    }

    /**
     * Adds a replica that pushed requests back and may also lack a permit.
     *
     * @param openMillis the time until the end of a push-back, in milliseconds, 0 if there is none
     * @param permitMillis the time until this daemon's next permit, in milliseconds, 0 if there is
     *     one
     * @param perSecond the rate at which the replica then takes this daemon's requests
     */
    public void add(final double openMillis, final double permitMillis, final double perSecond) {
        mFirstMillis = Math.min(mFirstMillis, Math.max(openMillis, permitMillis));
        mFirstOpenMillis = Math.min(mFirstOpenMillis, openMillis);
        mPerSecond += perSecond;
        mReplicas++;
    }

    /**
     * Returns whether no replica was added.
     *
     * @return true if the request does not wait for a replica to take requests
     */
    public boolean isEmpty() {
        return mReplicas == 0;
    }

    /**
     * Estimates how long a request waits.
     *
     * @param ahead the requests that get a permit before it
     * @return the time in milliseconds, infinite if this daemon has no share
     */
    public double waitMillis(final int ahead) {
        return mFirstMillis + (ahead == 0 ? 0 : ahead / mPerSecond * MILLIS_PER_SECOND);
    }

    /**
     * Returns whether a request waits here.
     *
     * @param ahead the requests that get a permit before it
     * @param objectiveMillisLeft the time until its latency objective is missed
     * @param millisLeft the time until its deadline
     * @return false if it should be refused
     */
    public boolean canServeInTime(
            final int ahead, final double objectiveMillisLeft, final double millisLeft) {
        return waitMillis(ahead)
                <= Math.max(PLANNED_SHARE * objectiveMillisLeft, LATE_SHARE * millisLeft);
    }

    /**
     * Returns the Retry-After time of a refused caller.
     *
     * @param ahead the requests that get a permit before it
     * @param millisLeft the time until the caller's deadline in milliseconds
     * @return the time until a request is expected to be taken, within what callers wait, but not
     *     before the first push-back ends
     */
    public long retryAfterMillis(final int ahead, final double millisLeft) {
        final double longest = Math.max(1, LONGEST_DELAY_SHARE * millisLeft);
        final double usual = Math.min(longest, Math.max(SHORTEST_DELAY_MILLIS, waitMillis(ahead)));
        return Math.round(Math.max(usual, mFirstOpenMillis));
    }
}
