package io.persimmonreel.daemon.relay;

/** Learns of the responses and bytes of replicas that belong to no request. */
@FunctionalInterface
interface UnrequestedResponseListener {
    /**
     * Reports a response that is not forwarded.
     *
     * @param response its description
     * @param nowNanos the time in nanoseconds of the monotonic clock
     */
    void onUnrequested(UnrequestedResponse response, long nowNanos);
}
