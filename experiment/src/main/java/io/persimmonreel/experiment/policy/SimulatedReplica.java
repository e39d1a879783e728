package io.persimmonreel.experiment.policy;

import io.persimmonreel.core.schedule.LoadReport;

/** Simulates one replica of an upstream in virtual time. */
interface SimulatedReplica {
    String id();

    /** Queues a request; returns false if the connection is refused. */
    boolean submit(SimulatedRequest request);

    /** Cancels a waiting, running or paused request and frees its KV cache. */
    void cancel(SimulatedRequest request);

    /** Pauses the generation of a stream and keeps its KV cache. */
    void pause(SimulatedRequest request);

    /** Resumes a paused stream; returns false if this replica does not hold its KV cache. */
    boolean resume(SimulatedRequest request);

    /** Resumes a stream whose KV cache was imported from another replica. */
    void resumeImported(SimulatedRequest request);

    /** Returns the present load, to be delivered at the given age. */
    LoadReport report(long ageMillis);

    boolean isUp();

    /** Stops the replica and breaks the requests that it runs. */
    void crash();

    void restart();

    /** Multiplies the speed by a factor. */
    void scaleSpeed(double factor);

    /** Returns the number of requests that run at once. */
    int slots();

    /** Returns the number of running and waiting requests, without paused ones. */
    int activeRequests();

    /**
     * Returns the time to the complete response if the request were submitted now, in nanoseconds.
     */
    double trueCompletionNanos(SimulatedRequest request);
}
