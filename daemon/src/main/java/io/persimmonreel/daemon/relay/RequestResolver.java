package io.persimmonreel.daemon.relay;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.persimmonreel.core.placement.WorkSize;
import io.persimmonreel.core.route.RelayConfiguration;
import io.persimmonreel.core.route.RelayCustomer;
import io.persimmonreel.core.route.ResendRule;
import io.persimmonreel.core.route.Route;
import io.persimmonreel.core.stream.StreamKey;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

/** Determines the route, customer and work of a request. Not thread safe. */
final class RequestResolver {
    private final OutputLengthEstimator mOutputLengths;
    private final SplittableRandom mRandom;

    /**
     * Creates a resolver.
     *
     * @param outputLengths the estimator of output lengths
     * @param seed the random seed for choosing the upstream of a split route
     */
    RequestResolver(final OutputLengthEstimator outputLengths, final long seed) {
        mOutputLengths = outputLengths;
        mRandom = new SplittableRandom(seed);
    }

    /**
     * Holds either the task of an accepted request or the refusal.
     *
     * @param task the task, null if the request is refused
     * @param refusal the refusal, null if the request is accepted
     */
    record Result(RelayTask task, RelayRefusal refusal) {
        static Result refuse(final HttpResponseStatus status, final String reason) {
            return new Result(null, new RelayRefusal(status, reason));
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
        final String upstream =
                route.get().pickUpstream(fraction(route.get(), request.callerHeaders()));
        if (!configuration.needsKey(route.get())) {
            return accept(request, configuration, route.get(), upstream, null, 0);
        }
        final Optional<RelayCustomer> customer =
                configuration.customerOf(request.callerHeaders().key());
        if (customer.isEmpty()) {
            return Result.refuse(HttpResponseStatus.UNAUTHORIZED, "the key is unknown");
        }
        final long units = customer.get().units(request.callerHeaders().quotaTokens());
        return accept(request, configuration, route.get(), upstream, customer.get(), units);
    }

    /** Returns the number that chooses the upstream, the same for all attempts of a stream. */
    private double fraction(final Route route, final CallerHeaders headers) {
        final String attempt =
                headers.resumes() == null || headers.resumeAfter() == null
                        ? headers.attemptId()
                        : headers.resumes();
        return route.resendRule() == ResendRule.RESUMABLE_STREAM && !attempt.isEmpty()
                ? StreamKey.fraction(attempt)
                : mRandom.nextDouble();
    }

    private Result accept(
            final CallerRequest request,
            final RelayConfiguration configuration,
            final Route route,
            final String upstream,
            final RelayCustomer customer,
            final long units) {
        final long deadline = request.callerHeaders().deadlineMillis();
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
                        request.arrivedNanos() + TimeUnit.MILLISECONDS.toNanos(millis)),
                null);
    }

    private WorkSize workOf(final Route route, final CallerHeaders callerHeaders) {
        return new WorkSize(
                Math.max(0, callerHeaders.promptTokens()),
                mOutputLengths.estimate(route.name(), callerHeaders),
                route.gapObjectiveMillis(),
                callerHeaders.parts());
    }
}
