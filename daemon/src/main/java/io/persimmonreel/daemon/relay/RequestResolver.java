package io.persimmonreel.daemon.relay;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.persimmonreel.core.placement.WorkSize;
import io.persimmonreel.core.quota.FleetQuota;
import io.persimmonreel.core.quota.QuotaState;
import io.persimmonreel.core.route.RelayConfiguration;
import io.persimmonreel.core.route.RelayCustomer;
import io.persimmonreel.core.route.Route;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

/**
 * Determines the route, customer and work of a request, and takes its units from the customer's
 * quota. Not thread safe.
 */
final class RequestResolver {
    /** The shortest Retry-After time for a customer whose quota is exhausted, in milliseconds. */
    private static final long MINIMUM_QUOTA_RETRY_AFTER_MILLIS = 300;

    private final FleetQuota mQuota;
    private final QuotaUseLog mQuotaUse;
    private final OutputLengthEstimator mOutputLengths;
    private final PriorWaitEstimator mPriorWaits = new PriorWaitEstimator();
    private final Predicate<String> mHasRoom;
    private final SplittableRandom mRandom;

    /**
     * Creates a resolver.
     *
     * @param quota the quotas of customers
     * @param quotaUse counts the use of quotas
     * @param outputLengths the estimator of output lengths
     * @param hasRoom tells whether an upstream has room for requests beyond quotas
     * @param seed the random seed for choosing the upstream of a split route
     */
    RequestResolver(
            final FleetQuota quota,
            final QuotaUseLog quotaUse,
            final OutputLengthEstimator outputLengths,
            final Predicate<String> hasRoom,
            final long seed) {
        mQuota = quota;
        mQuotaUse = quotaUse;
        mOutputLengths = outputLengths;
        mHasRoom = hasRoom;
        mRandom = new SplittableRandom(seed);
    }

    /**
     * Holds either the task of an accepted request or the refusal.
     *
     * @param task the task, null if the request is refused
     * @param refusal the refusal, null if the request is accepted
     * @param retryAfterMillis the time after which a refused caller should retry, in milliseconds,
     *     0 for none
     * @param quota the state of the quota that refused the request, empty for other results
     */
    record Result(
            RelayTask task,
            RelayRefusal refusal,
            long retryAfterMillis,
            Optional<QuotaState> quota) {
        static Result refuse(final HttpResponseStatus status, final String reason) {
            return new Result(null, new RelayRefusal(status, reason), 0, Optional.empty());
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
            return Result.refuse(HttpResponseStatus.NOT_FOUND, "no route matches");
        }
        final String upstream = route.get().pickUpstream(mRandom.nextDouble());
        if (!configuration.needsKey(route.get())) {
            return accept(request, configuration, route.get(), upstream, null, 0);
        }
        final Optional<RelayCustomer> customer =
                configuration.customerOf(request.callerHeaders().key());
        if (customer.isEmpty()) {
            return Result.refuse(HttpResponseStatus.UNAUTHORIZED, "the key is unknown");
        }
        final long units = customer.get().units(request.callerHeaders().quotaTokens());
        if (!mQuota.tryUse(customer.get(), units, nowNanos)) {
            final boolean room = mHasRoom.test(upstream);
            if (!room || !mQuota.tryUseTolerated(customer.get(), units, nowNanos)) {
                mQuotaUse.add(customer.get().name(), QuotaEvent.REFUSED, units);
                return refuseForQuota(customer.get(), units, room, nowNanos);
            }
        }
        mQuotaUse.add(customer.get().name(), QuotaEvent.ADMITTED, units);
        return accept(request, configuration, route.get(), upstream, customer.get(), units);
    }

    private Result refuseForQuota(
            final RelayCustomer customer,
            final long units,
            final boolean room,
            final long nowNanos) {
        return new Result(
                null,
                new RelayRefusal(
                        HttpResponseStatus.TOO_MANY_REQUESTS,
                        "the quota of " + customer.name() + " is used up"),
                Math.max(
                        MINIMUM_QUOTA_RETRY_AFTER_MILLIS,
                        mQuota.millisUntilAvailable(customer, units, room, nowNanos)),
                mQuota.state(customer));
    }

    private Result accept(
            final CallerRequest request,
            final RelayConfiguration configuration,
            final Route route,
            final String upstream,
            final RelayCustomer customer,
            final long units) {
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
                0,
                Optional.empty());
    }

    private WorkSize workOf(final Route route, final CallerHeaders callerHeaders) {
        return new WorkSize(
                Math.max(0, callerHeaders.promptTokens()),
                mOutputLengths.estimate(route.name(), callerHeaders),
                route.gapObjectiveMillis(),
                callerHeaders.parts());
    }
}
