package io.persimmonreel.core.schedule;

import io.persimmonreel.core.explain.DecisionLog;
import io.persimmonreel.core.explain.DecisionRecord;
import io.persimmonreel.core.request.Step;

/**
 * Adds the scheduler's decisions to the decision log.
 *
 * @param log the log; it sets the wall-clock time, since the scheduler has no clock
 */
record DecisionRecorder(DecisionLog log) {
    void record(
            final String requestId,
            final Step step,
            final String decision,
            final String subject,
            final String reason) {
        log.add(new DecisionRecord(0, requestId, step, decision, subject, reason));
    }
}
