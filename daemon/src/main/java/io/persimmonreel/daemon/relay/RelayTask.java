package io.persimmonreel.daemon.relay;

import io.persimmonreel.core.admission.Admission;
import io.persimmonreel.core.placement.WorkSize;
import io.persimmonreel.core.route.RelayCustomer;
import io.persimmonreel.core.route.Route;

/**
 * Holds what is fixed about an attempt when it is accepted.
 *
 * @param request the caller's request
 * @param route its route
 * @param upstream the upstream that serves it
 * @param customer the customer, null if the route needs no key
 * @param units the units that were taken from the customer's quota
 * @param work the work for a replica
 * @param waitedBeforeMillis the time since the caller's first attempt, in milliseconds
 * @param deadlineNanos when the attempt ends at the latest, by the monotonic clock
 */
record RelayTask(
        CallerRequest request,
        Route route,
        String upstream,
        RelayCustomer customer,
        long units,
        WorkSize work,
        double waitedBeforeMillis,
        long deadlineNanos) {
    private static final double NANOS_PER_MILLI = 1e6;

    /** Returns the id that the caller gave the attempt. */
    String id() {
        return request.head().attemptId();
    }

    /** Returns the customer's name, empty if the route needs no key. */
    String customerName() {
        return customer == null ? "" : customer.name();
    }

    /** Returns the urgency, 0 is the most urgent. */
    int rank() {
        return customer == null ? route.rank() : customer.rank().orElse(route.rank());
    }

    /** Returns the time until the attempt ends at the latest, in milliseconds. */
    double millisLeft(final long nowNanos) {
        return (deadlineNanos - nowNanos) / NANOS_PER_MILLI;
    }

    /** Returns the time since the attempt arrived, in milliseconds. */
    double waitedMillis(final long nowNanos) {
        return (nowNanos - request.arrivedNanos()) / NANOS_PER_MILLI;
    }

    /** Returns the time until the first event is late, in milliseconds, negative if it is late. */
    double objectiveLeft(final long nowNanos) {
        return route.objectiveMillis() - waitedBeforeMillis - waitedMillis(nowNanos);
    }

    /** Describes the attempt to the admission. */
    Admission.Applicant applicant(final long nowNanos) {
        return new Admission.Applicant(
                route.objectiveMillis(),
                waitedBeforeMillis + waitedMillis(nowNanos),
                waitedMillis(nowNanos),
                millisLeft(nowNanos),
                waitedBeforeMillis > 0);
    }
}
