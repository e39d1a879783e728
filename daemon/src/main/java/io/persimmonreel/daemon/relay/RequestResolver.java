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

/**
 * Determines the route, customer and work of a request, and takes its units from the customer's
 * quota. Not thread safe.
 */
final class RequestResolver {
    /** The shortest Retry-After time for a customer whose quota is exhausted, in milliseconds. */
    private static final long MINIMUM_QUOTA_RETRY_AFTER_MILLIS = 300;

    private final FleetQuota mQuota;
    private final OutputLengthEstimator mOutputLengths;
    private final PriorWaitEstimator mPriorWaits = new PriorWaitEstimator();
    private final SplittableRandom mRandom;

    RequestResolver(
            final FleetQuota quota, final OutputLengthEstimator outputLengths, final long seed) {
        mQuota = quota;
        mOutputLengths = outputLengths;
        mRandom = new SplittableRandom(seed);
    }

    /**
     * Holds either the task of an accepted request or the refusal.
     *
     * @param task the task, null if the request is refused
     * @param refusal the refusal, null if the request is accepted
     * @param retryAfterMillis the time after which a refused caller should retry, in milliseconds,
     *     0 for none
     */
    record Result(RelayTask task, RelayRefusal refusal, long retryAfterMillis) {
        static Result refuse(
                final HttpResponseStatus status, final String reason, final long retryAfterMillis) {
            return new Result(null, new RelayRefusal(status, reason), retryAfterMillis);
        }
    }

    /** Accepts or refuses a request under the given configuration. */
    Result resolve(
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
            return Result.refuse(HttpResponseStatus.NOT_FOUND, "no route matches", 0);
        }
        if (!configuration.needsKey(route.get())) {
            return accept(request, configuration, route.get(), null, 0);
        }
        final Optional<RelayCustomer> customer =
                configuration.customerOf(request.callerHeaders().key());
        if (customer.isEmpty()) {
            return Result.refuse(HttpResponseStatus.UNAUTHORIZED, "the key is unknown", 0);
        }
        final long units = customer.get().units(request.callerHeaders().quotaTokens());
        if (!mQuota.tryUse(customer.get(), units, nowNanos)) {
            return Result.refuse(
                    HttpResponseStatus.TOO_MANY_REQUESTS,
                    "the quota of " + customer.get().name() + " is used up",
                    Math.max(
                            MINIMUM_QUOTA_RETRY_AFTER_MILLIS,
                            mQuota.millisUntilAvailable(customer.get())));
        }
        return accept(request, configuration, route.get(), customer.get(), units);
    }

    private Result accept(
            final CallerRequest request,
            final RelayConfiguration configuration,
            final Route route,
            final RelayCustomer customer,
            final long units) {
        final String upstream = route.pickUpstream(mRandom.nextDouble());
        final long deadline = request.callerHeaders().deadlineMillis();
        final double priorWaitMillis = mPriorWaits.estimateMillis(route.name(), deadline);
        final long millis =
                deadline > 0 ? Math.min(deadline, route.timeoutMillis()) : route.timeoutMillis();
        final boolean hasEngine =
                configuration
                        .upstream(upstream)
                        .flatMap(relayUpstream -> relayUpstream.engine())
                        .isPresent();
        return new Result(
                new RelayTask(
                        request,
                        route,
                        upstream,
                        customer,
                        units,
                        hasEngine ? workOf(route, request.callerHeaders()) : WorkSize.PLAIN,
                        priorWaitMillis,
                        request.arrivedNanos() + TimeUnit.MILLISECONDS.toNanos(millis)),
                null,
                0);
    }

    private WorkSize workOf(final Route route, final CallerHeaders callerHeaders) {
        return new WorkSize(
                Math.max(0, callerHeaders.promptTokens()),
                mOutputLengths.estimate(route.name(), callerHeaders),
                route.gapObjectiveMillis(),
                callerHeaders.parts());
    }
}
