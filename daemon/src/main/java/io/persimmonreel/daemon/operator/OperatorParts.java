package io.persimmonreel.daemon.operator;

import io.persimmonreel.core.explain.DecisionRecord;
import io.persimmonreel.daemon.http.Readiness;
import java.util.List;
import java.util.concurrent.CompletionStage;
import java.util.function.Function;
import java.util.function.Supplier;

/**
 * Groups what the server for operators depends on. State, records and report are written as JSON.
 *
 * @param metrics the metrics
 * @param readiness tells whether the daemon is ready and what it waits for
 * @param state supplies the daemon's state
 * @param explain gathers the decision records of a request id from all daemons
 * @param report supplies the attainment, error budget and burn rate of the objectives
 */
public record OperatorParts(
        DaemonMetrics metrics,
        Readiness readiness,
        Supplier<Object> state,
        Function<String, CompletionStage<List<DecisionRecord>>> explain,
        Supplier<Object> report) {}
