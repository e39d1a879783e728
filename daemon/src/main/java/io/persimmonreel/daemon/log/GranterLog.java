package io.persimmonreel.daemon.log;

import io.persimmonreel.core.grant.GranterSilence;
import io.persimmonreel.daemon.operator.MetricSet;
import io.prometheus.metrics.core.metrics.Counter;

/**
 * Logs that the granter of an upstream did not answer this daemon in time, and counts the work of
 * the granters of this daemon.
 */
public final class GranterLog {
    private final EventLog mLog;
    private final Counter mOrdered;

    /**
     * Creates a log.
     *
     * @param log receives the lines
     * @param metrics receives the counter
     */
    public GranterLog(final EventLog log, final MetricSet metrics) {
        mLog = log;
        mOrdered =
                metrics.counter(
                        "persimmonreel_relay_granter_ordered_claims_total",
                        "Claims in the queue of this granter, counted each time that it is ordered",
                        "upstream");
    }

    /**
     * Counts that a granter of this daemon ordered its queue.
     *
     * @param upstream the upstream's name
     * @param claims the number of claims in it
     */
    public void ordered(final String upstream, final int claims) {
        mOrdered.labelValues(upstream).inc(claims);
    }

    /**
     * Logs that this daemon stops asking a granter for a while.
     *
     * @param upstream the upstream's name
     * @param silence what was not answered
     */
    public void silent(final String upstream, final GranterSilence silence) {
        final EventLog.Line line =
                mLog.event("slots", "unanswered")
                        .put("upstream", upstream)
                        .put("claim", silence.claim())
                        .put("waited_ms", Math.round(silence.waitedMillis()))
                        .put("repeated", silence.isRepeated())
                        .put("given_up", silence.givenUp());
        if (silence.lastAnswerMillis() >= 0) {
            line.put("last_answer_ms", Math.round(silence.lastAnswerMillis()));
        }
        line.write();
    }

    /**
     * Logs the first answer after this daemon stopped asking.
     *
     * @param upstream the upstream's name
     * @param afterMillis the time from the unanswered claim to this answer in milliseconds
     */
    public void answeredLate(final String upstream, final double afterMillis) {
        mLog.event("slots", "answered-late")
                .put("upstream", upstream)
                .put("after_ms", Math.round(afterMillis))
                .write();
    }
}
