package io.persimmonreel.experiment.policy;

import io.persimmonreel.core.schedule.LoadReport;

/** Decides which replica runs each request that arrives at one daemon. */
interface Policy extends SimulatedRequest.RequestListener {
    /** Starts timers before the first request. */
    default void start() {}

    /** Takes a new request. */
    void onArrival(SimulatedRequest request);

    /**
     * Drops a request that ended without a response: its deadline passed or its daemon was lost.
     */
    default void onAbandoned(final SimulatedRequest request) {}

    /** Takes a load report of a replica. */
    default void onLoadReport(final LoadReport report) {}

    /** Handles a health check that finds a replica newly down or up. */
    default void onHealthChange(final SimulatedReplica replica, final boolean up) {}

    /** Handles the loss of a daemon, which may be this one. */
    default void onDaemonLost(final int daemon) {}

    /** Starts the network partition between the daemons. */
    default void onPartition() {}
}
