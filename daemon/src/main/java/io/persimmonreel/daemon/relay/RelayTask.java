package io.persimmonreel.daemon.relay;

import io.persimmonreel.core.admission.ResponseForecast;
import io.persimmonreel.core.admission.TimeLeft;
import io.persimmonreel.core.placement.Placement;
import io.persimmonreel.core.placement.Placement.Choice;
import io.persimmonreel.core.placement.WorkSize;
import io.persimmonreel.core.route.RelayCustomer;
import io.persimmonreel.core.route.Route;
import io.persimmonreel.daemon.refusal.RefusedRequest;

/**
 * Holds an accepted request with its route, upstream, customer, work and deadline.
 *
 * @param request the caller's request
 * @param route the route of the request
 * @param upstream the upstream that serves it
 * @param customer the customer, null if the route requires no API key
 * @param units the units that were taken from the customer's quota
 * @param work the estimated work for a replica
 * @param deadlineNanos the deadline, as monotonic time in nanoseconds
 */
record RelayTask(
        CallerRequest request,
        Route route,
        String upstream,
        RelayCustomer customer,
        long units,
        WorkSize work,
        long deadlineNanos) {
    private static final double NANOS_PER_MILLI = 1e6;

    /** Returns the attempt id that the caller gave the request. */
    String id() {
        return request.callerHeaders().attemptId();
    }

    /** Returns the customer's name, empty if the route requires no API key. */
    String customerName() {
        return customer == null ? "" : customer.name();
    }

    /** Returns the priority rank; 0 is the most urgent. */
    int rank() {
        return customer == null ? route.rank() : customer.rank().orElse(route.rank());
    }

    /** Returns the time until the deadline, in milliseconds. */
    double millisLeft(final long nowNanos) {
        return (deadlineNanos - nowNanos) / NANOS_PER_MILLI;
    }

    /** Returns the time since the request arrived, in milliseconds. */
    double waitedMillis(final long nowNanos) {
        return (nowNanos - request.arrivedNanos()) / NANOS_PER_MILLI;
    }

    /** Returns the time that the caller has left. */
    TimeLeft timeLeft(final long nowNanos) {
        final double waitedMillis = waitedMillis(nowNanos);
        final double millisLeft = millisLeft(nowNanos);
        final double patienceMillis =
                route.resendRule().isStream()
                        ? route.patienceMillis() - waitedMillis
                        : Double.POSITIVE_INFINITY;
        return new TimeLeft(
                route.objectiveMillis() - waitedMillis,
                Math.min(patienceMillis, millisLeft),
                millisLeft);
    }

    /** Describes the request for a refusal. */
    RefusedRequest refused(final long nowNanos) {
        return new RefusedRequest(
                id(),
                route.name(),
                upstream,
                customerName(),
                rank(),
                units,
                work.promptTokens(),
                work.outputTokens(),
                waitedMillis(nowNanos),
                timeLeft(nowNanos).objectiveMillis(),
                millisLeft(nowNanos));
    }

    /** Predicts how long the response takes at the chosen replica. */
    ResponseForecast forecast(final Choice choice) {
        final int expectedTokens = work.outputTokens();
        return expectedTokens <= 0
                ? ResponseForecast.ofPlainService(choice.totalMillis())
                : ResponseForecast.ofTokens(
                        choice.totalMillis(),
                        expectedTokens,
                        request.callerHeaders().maximumOutputTokens(),
                        choice.replica().tokenMillis(Placement.TYPICAL_TOKEN_MILLIS));
    }
}
