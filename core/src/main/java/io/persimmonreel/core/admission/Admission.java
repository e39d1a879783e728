package io.persimmonreel.core.admission;

/**
 * Decides whether a request is sent to the chosen replica now, waits in this daemon, or is refused.
 *
 * <p>The decision is the same whatever the request waits for: a busy replica, a rate limit, the end
 * of a push-back, or any replica at all. A request is refused only once it can't be served in the
 * time that its caller has left, so that its caller can use the rest of that time elsewhere.
 */
public final class Admission {
    private Admission() {}

    /** Distinguishes the decisions on a request. */
    public enum Decision {
        /** The request is sent to the chosen replica. */
        SEND,
        /** The request waits in this daemon. */
        HOLD,
        /** The request is refused. */
        REFUSE
    }

    /**
     * Decides whether a request is sent, waits or is refused.
     *
     * <p>Replicas serve in order of arrival. So a request waits in this daemon rather than at a
     * replica: here, more urgent requests can overtake it, and any replica can take it.
     *
     * @param left the time that the caller has left
     * @param replica what the request finds at the replica that was chosen for it
     * @param place when the request is expected to get a slot if it waits
     * @param run how long the response takes from the time at which the request gets a slot
     * @return the decision
     */
    public static Decision decide(
            final TimeLeft left,
            final ReplicaForecast replica,
            final PlaceForecast place,
            final RunForecast run) {
        if (replica.takes(left, run)) {
            return Decision.SEND;
        }
        return place.waitMillis() <= left.latestStartMillis(run) ? Decision.HOLD : Decision.REFUSE;
    }

    /**
     * Decides whether a request that continues a stream is sent, waits or is refused.
     *
     * <p>Its prompt and its caller's wait are spent already, and other daemons have the same few
     * replicas for it. So it gets the next slot of the chosen replica even if it is late, and is
     * refused only once no slot would be in time for its next event. The forecast of a whole
     * response doesn't tell how long the rest takes.
     *
     * @param left the time that the caller has left
     * @param replica what the request finds at the replica that was chosen for it
     * @param run how long a whole response takes from the time at which the request gets a slot
     * @return the decision
     */
    public static Decision decideContinuation(
            final TimeLeft left, final ReplicaForecast replica, final RunForecast run) {
        final double firstEventMillis = Math.min(left.firstEventMillis(), left.deadlineMillis());
        if (replica.takesContinuation(firstEventMillis)) {
            return Decision.SEND;
        }
        return run.firstMillis() <= firstEventMillis ? Decision.HOLD : Decision.REFUSE;
    }
}
