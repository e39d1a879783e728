package io.persimmonreel.daemon.relay;

import io.persimmonreel.core.admission.OverloadOrder.Candidate;
import io.persimmonreel.core.admission.QueuePosition;
import io.persimmonreel.core.admission.RunForecast;

/**
 * Describes a request that waits for a replica.
 *
 * @param call the call of the request
 * @param run how long the response takes at the replica that was chosen last, or at best before one
 *     was chosen
 */
record WaitingRequest(RelayCall call, RunForecast run) {
    WaitingRequest withRun(final RunForecast newRun) {
        return new WaitingRequest(call, newRun);
    }

    /** Describes the request for the order of placement, which changes with time. */
    Candidate<WaitingRequest> candidate(final long nowNanos) {
        final Candidate<WaitingRequest> candidate =
                Candidate.of(this, call.task().timeLeft(nowNanos), run, call.task().rank());
        return call.versionBinding().isBound() ? candidate.asContinuation() : candidate;
    }

    /** Returns the position in the queue, which changes with time. */
    QueuePosition position(final long nowNanos) {
        return QueuePosition.of(call.task().timeLeft(nowNanos), run, call.task().rank());
    }

    long bodyBytes() {
        return call.task().request().body().readableBytes();
    }
}
