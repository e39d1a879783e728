package io.persimmonreel.core.admission;

/**
 * Predicts what a request finds at the replica that was chosen for it. Immutable.
 *
 * @param free the slots that no request takes, by reports of other daemons that may be old;
 *     negative if requests wait there
 * @param slots the requests that the replica runs at the same time
 * @param firstMillis the time in milliseconds to the first event if the request is sent now
 */
public record ReplicaForecast(double free, int slots, double firstMillis) {
    /** Describes that no replica takes the request now. */
    public static final ReplicaForecast NONE =
            new ReplicaForecast(Double.NEGATIVE_INFINITY, 0, Double.POSITIVE_INFINITY);

    /** The free slots that late requests need, so that one is left. */
    private static final int SLOTS_FOR_LATE = 2;

    /**
     * Returns whether the replica takes another request soon: it has a free slot, or no request
     * waits for the next one. So its next slot is used at once, without waiting for a report, and
     * one request at most can't be overtaken there.
     *
     * @return false if a request waits there already
     */
    public boolean hasRoom() {
        return free >= 0;
    }

    /**
     * Returns whether a request should be sent now. Late requests leave the last slot of a replica
     * to requests that can be on time, since other daemons may have sent some that no report shows
     * yet.
     *
     * @param left the time that the caller has left
     * @param run how long the response takes there
     * @return true if a slot is free for it, or if it will be on time as the next one
     */
    boolean takes(final TimeLeft left, final RunForecast run) {
        if (left.latestPunctualStartMillis(run) < 0) {
            return slots > 0 && free >= Math.min(SLOTS_FOR_LATE, slots);
        }
        return free >= 1 || hasRoom() && firstMillis <= left.objectiveMillis();
    }

    /**
     * Returns whether a request that continues a stream should be sent now.
     *
     * @param firstEventMillis the time in milliseconds within which its caller needs an event
     * @return true if a slot is free for it, or if it is served in time as the next one
     */
    boolean takesContinuation(final double firstEventMillis) {
        return free >= 1 || hasRoom() && firstMillis <= firstEventMillis;
    }
}
