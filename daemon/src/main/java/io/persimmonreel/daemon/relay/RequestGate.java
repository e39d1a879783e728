package io.persimmonreel.daemon.relay;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.persimmonreel.core.placement.WorkSize;
import io.persimmonreel.core.quota.FleetQuota;
import io.persimmonreel.core.route.RelayConfiguration;
import io.persimmonreel.core.route.RelayCustomer;
import io.persimmonreel.core.route.Route;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

/** Finds the route, the customer and the work of a request, and uses the quota. Not thread safe. */
final class RequestGate {
    /** The shortest return time of a customer whose quota is used up, in milliseconds. */
    private static final long LEAST_QUOTA_RETURN_MILLIS = 300;

    private final FleetQuota mQuota;
    private final OutputLengths mLengths;
    private final CallerPatience mPatience = new CallerPatience();
    private final SplittableRandom mRandom;

    RequestGate(final FleetQuota quota, final OutputLengths lengths, final long seed) {
        mQuota = quota;
        mLengths = lengths;
        mRandom = new SplittableRandom(seed);
    }

    /**
     * Holds either the task of an accepted request or its refusal.
     *
     * @param task the task, null if the request is refused
     * @param refusal the refusal, null if the request is accepted
     * @param returnMillis the time after which a refused caller should return, 0 for never
     */
    record Verdict(RelayTask task, RelayRefusal refusal, long returnMillis) {
        static Verdict refuse(
                final HttpResponseStatus status, final String reason, final long returnMillis) {
            return new Verdict(null, new RelayRefusal(status, reason), returnMillis);
        }
    }

    /** Decides on a request under the configuration in force. */
    Verdict admit(
            final CallerRequest request,
            final RelayConfiguration configuration,
            final long nowNanos) {
        final Optional<Route> route =
                configuration
                        .routes()
                        .find(
                                request.request().headers().get(HttpHeaderNames.HOST),
                                request.request().uri());
        if (route.isEmpty()) {
            return Verdict.refuse(HttpResponseStatus.NOT_FOUND, "no route matches", 0);
        }
        if (!configuration.needsKey(route.get())) {
            return accept(request, configuration, route.get(), null, 0);
        }
        final Optional<RelayCustomer> customer = configuration.customerOf(request.head().key());
        if (customer.isEmpty()) {
            return Verdict.refuse(HttpResponseStatus.UNAUTHORIZED, "the key is unknown", 0);
        }
        final long units = customer.get().units(request.head().quotaTokens());
        if (!mQuota.use(customer.get(), units, nowNanos)) {
            return Verdict.refuse(
                    HttpResponseStatus.TOO_MANY_REQUESTS,
                    "the quota of " + customer.get().name() + " is used up",
                    Math.max(
                            LEAST_QUOTA_RETURN_MILLIS,
                            mQuota.millisUntilAvailable(customer.get())));
        }
        return accept(request, configuration, route.get(), customer.get(), units);
    }

    private Verdict accept(
            final CallerRequest request,
            final RelayConfiguration configuration,
            final Route route,
            final RelayCustomer customer,
            final long units) {
        final String upstream = route.pickUpstream(mRandom.nextDouble());
        final long deadline = request.head().deadlineMillis();
        final double waitedBefore = mPatience.onDeadline(route.name(), deadline);
        final long millis =
                deadline > 0 ? Math.min(deadline, route.timeoutMillis()) : route.timeoutMillis();
        final boolean engine =
                configuration.upstream(upstream).flatMap(pool -> pool.engine()).isPresent();
        return new Verdict(
                new RelayTask(
                        request,
                        route,
                        upstream,
                        customer,
                        units,
                        engine ? workOf(route, request.head()) : WorkSize.PLAIN,
                        waitedBefore,
                        request.arrivedNanos() + TimeUnit.MILLISECONDS.toNanos(millis)),
                null,
                0);
    }

    private WorkSize workOf(final Route route, final CallerHead head) {
        return new WorkSize(
                Math.max(0, head.promptTokens()),
                mLengths.estimate(route.name(), head),
                route.pauseObjectiveMillis(),
                head.parts());
    }
}
