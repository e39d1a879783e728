package io.persimmonreel.core.schedule;

import io.persimmonreel.core.config.Configuration;
import io.persimmonreel.core.peer.Incarnation;
import io.persimmonreel.core.peer.PeerMessage.PeerLoad;
import io.persimmonreel.core.peer.PeerMessage.ShedNotice;
import java.util.List;

/**
 * Decides on one daemon which requests wait, which are refused and which replica runs each one.
 *
 * <p>All times are monotonic nanoseconds passed in by the caller. Implementations are thread safe.
 * The caller carries out the directives that {@link #poll} returns, in their order.
 */
public interface Scheduler {
    /**
     * Applies an accepted configuration.
     *
     * @param configuration the configuration
     * @param nowNanos the present time
     */
    void configure(Configuration configuration, long nowNanos);

    /**
     * Queues a request. A refusal, also an immediate one, is returned by {@link #poll}.
     *
     * @param request the request
     * @param nowNanos the present time
     */
    void offer(PendingRequest request, long nowNanos);

    /**
     * Returns the actions to take now. The caller polls after events and at least every 10 ms.
     *
     * @param nowNanos the present time
     * @return the directives in order, possibly none
     */
    List<Directive> poll(long nowNanos);

    /**
     * Reports output tokens of a dispatched request; the first call marks its first token.
     *
     * @param requestId the request's id
     * @param tokens the number of tokens received so far
     * @param nowNanos the present time
     */
    void onTokens(String requestId, int tokens, long nowNanos);

    /**
     * Reports that a dispatch ended. After {@link Completion#BROKEN} a later directive resumes or
     * refuses the request; after {@link Completion#NOT_SENT} the request is queued again, or
     * refused if the retry budget is used up.
     *
     * @param requestId the request's id
     * @param completion how it ended
     * @param nowNanos the present time
     */
    void onFinished(String requestId, Completion completion, long nowNanos);

    /**
     * Drops a request whose caller disconnected, in any state.
     *
     * @param requestId the request's id
     * @param nowNanos the present time
     */
    void cancel(String requestId, long nowNanos);

    /**
     * Handles a load report of a replica.
     *
     * @param report the report
     * @param nowNanos the present time
     */
    void onLoadReport(LoadReport report, long nowNanos);

    /**
     * Sets a replica's availability, as known from the host list, health checks or the quarantine.
     *
     * @param replica the replica's id
     * @param availability the availability
     * @param nowNanos the present time
     */
    void onAvailability(String replica, ReplicaAvailability availability, long nowNanos);

    /**
     * Handles the load that a peer reported.
     *
     * @param from the peer
     * @param load the load by upstream
     * @param nowNanos the present time
     */
    void onPeerLoad(Incarnation from, List<PeerLoad> load, long nowNanos);

    /**
     * Handles a peer's notice that it sheds load of lower tiers.
     *
     * @param from the peer
     * @param notice the notice
     * @param nowNanos the present time
     */
    void onShedNotice(Incarnation from, ShedNotice notice, long nowNanos);

    /**
     * Sets the members of the fleet.
     *
     * @param live the live members, this daemon included
     * @param unconfirmed the number of silent members that the host list still lists
     * @param nowNanos the present time
     */
    void onMembers(List<Incarnation> live, int unconfirmed, long nowNanos);

    /**
     * Returns this daemon's load for its heartbeats.
     *
     * @param nowNanos the present time
     * @return the load by upstream
     */
    List<PeerLoad> load(long nowNanos);

    /**
     * Returns the shedding thresholds that this daemon raised and that are in force. While a
     * threshold is in force, requests of lower tiers wait and their streams are paused.
     *
     * @param nowNanos the present time
     * @return the thresholds
     */
    List<ShedNotice> raisedThresholds(long nowNanos);

    /**
     * Tells whether a service has a replica that accepts requests now.
     *
     * @param service the service's id
     * @return true if at least one replica is live and its breaker is closed
     */
    boolean isServable(String service);
}
