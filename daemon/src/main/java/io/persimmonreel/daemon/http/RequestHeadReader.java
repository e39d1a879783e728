package io.persimmonreel.daemon.http;

import io.persimmonreel.core.config.Configuration;
import io.persimmonreel.core.customer.CustomerSpec;
import io.persimmonreel.core.request.Outcome;
import io.persimmonreel.core.request.Problem;
import io.persimmonreel.core.request.ProblemType;
import io.persimmonreel.core.request.RequestException;
import io.persimmonreel.core.request.Step;
import io.persimmonreel.core.service.ServiceSpec;
import io.persimmonreel.core.service.Tier;
import io.persimmonreel.daemon.request.Submission;
import java.time.Duration;
import java.util.Optional;
import java.util.function.Function;

/**
 * Authenticates callers and reads and checks the headers of their requests.
 *
 * <p>A refusal has the outcome "not run" only if no earlier request with the same idempotency key
 * can have run. Before a claim for the key is granted, that is certain only for requests without a
 * key, for idempotent services, and for refusals that every daemon would give for that key.
 */
final class RequestHeadReader {
    private static final String BEARER = "Bearer ";
    private static final long NOT_READY_RETRY_MILLIS = 1000;
    private static final int MINIMUM_IDEMPOTENCY_KEY_CHARS = 8;
    private static final int MAXIMUM_IDEMPOTENCY_KEY_CHARS = 255;

    private final CallerParts mParts;

    RequestHeadReader(final CallerParts parts) {
        mParts = parts;
    }

    /**
     * Checks that the daemon is ready and authenticates the customer.
     *
     * @param headers finds a header by name, null if it is missing
     * @param requestId the request's id
     * @return the customer
     * @throws RequestException if the daemon is not ready or the API key is not known
     */
    CustomerSpec authenticate(final Function<String, String> headers, final String requestId)
            throws RequestException {
        if (!mParts.readiness().isReady() || mParts.configuration().get().isEmpty()) {
            final String key = headers.apply("Idempotency-Key");
            throw refusal(
                    ProblemType.NOT_READY,
                    "waiting for " + String.join(", ", mParts.readiness().waitingFor()),
                    key == null ? Outcome.NOT_RUN : Outcome.MAY_HAVE_RUN,
                    requestId,
                    Step.RECEIVE);
        }
        final String authorization = headers.apply("Authorization");
        final Optional<CustomerSpec> customer =
                authorization == null || !authorization.startsWith(BEARER)
                        ? Optional.empty()
                        : mParts.customers()
                                .authenticate(authorization.substring(BEARER.length()).trim());
        if (customer.isEmpty()) {
            throw unauthorized(requestId);
        }
        return customer.get();
    }

    /**
     * Reads and checks the headers.
     *
     * @param headers finds a header by name, null if it is missing
     * @param serviceId the service's id
     * @param requestId the request's id
     * @return the head
     * @throws RequestException if the request is refused
     */
    RequestHead read(
            final Function<String, String> headers, final String serviceId, final String requestId)
            throws RequestException {
        final long nowNanos = mParts.time().monotonicNanos();
        final CustomerSpec customer = authenticate(headers, requestId);
        final Configuration configuration = mParts.configuration().get().orElseThrow();
        final String keyHeader = headers.apply("Idempotency-Key");
        final Optional<ServiceSpec> configured = configuration.service(serviceId);
        if (configured.isEmpty()) {
            throw refusal(
                    ProblemType.UNKNOWN_SERVICE,
                    "no service has this id",
                    keyHeader == null ? Outcome.NOT_RUN : Outcome.MAY_HAVE_RUN,
                    requestId,
                    Step.RECEIVE);
        }
        final ServiceSpec service = configured.get();
        final String idempotencyKey = idempotencyKey(keyHeader, service, requestId);
        final Optional<Submission> parent =
                Optional.ofNullable(headers.apply("Persimmonreel-Parent"))
                        .flatMap(mParts.coordinator()::findSubmission);
        final String accept = headers.apply("Accept");
        return new RequestHead(
                requestId,
                customer,
                service,
                configuration.upstreamOf(service),
                tier(headers.apply("Persimmonreel-Tier"), service, parent, requestId),
                nowNanos,
                deadlineNanos(
                        headers.apply("Persimmonreel-Deadline"),
                        service,
                        parent,
                        nowNanos,
                        requestId),
                idempotencyKey,
                accept != null && accept.contains("text/event-stream"));
    }

    /**
     * Returns the outcome of a refusal before a claim for the idempotency key is granted.
     *
     * @param head the request
     * @return "not run" for an idempotent service, else "may have run"
     */
    static Outcome outcomeWithoutClaim(final RequestHead head) {
        return head.service().idempotent() ? Outcome.NOT_RUN : Outcome.MAY_HAVE_RUN;
    }

    static RequestException refusal(
            final ProblemType type,
            final String detail,
            final Outcome outcome,
            final String requestId,
            final Step step) {
        final long retryAfterMillis = type == ProblemType.NOT_READY ? NOT_READY_RETRY_MILLIS : 0;
        return new RequestException(
                new Problem(type, detail, outcome, requestId, retryAfterMillis, step, ""));
    }

    static RequestException unauthorized(final String requestId) {
        return refusal(
                ProblemType.UNAUTHORIZED,
                "no customer has this key",
                Outcome.NOT_RUN,
                requestId,
                Step.AUTHENTICATE);
    }

    static RequestException malformed(final String detail, final String requestId) {
        return refusal(ProblemType.BAD_REQUEST, detail, Outcome.NOT_RUN, requestId, Step.RECEIVE);
    }

    private static String idempotencyKey(
            final String header, final ServiceSpec service, final String requestId)
            throws RequestException {
        if (header == null) {
            if (service.idempotent()) {
                return "";
            }
            throw refusal(
                    ProblemType.KEY_REQUIRED,
                    "the header Idempotency-Key is missing",
                    Outcome.NOT_RUN,
                    requestId,
                    Step.RECEIVE);
        }
        final boolean visibleAscii = header.chars().allMatch(c -> c > ' ' && c < 0x7f);
        if (!visibleAscii
                || header.length() < MINIMUM_IDEMPOTENCY_KEY_CHARS
                || header.length() > MAXIMUM_IDEMPOTENCY_KEY_CHARS) {
            throw malformed(
                    "the header Idempotency-Key is not 8 to 255 visible ASCII characters",
                    requestId);
        }
        return header;
    }

    private static Tier tier(
            final String header,
            final ServiceSpec service,
            final Optional<Submission> parent,
            final String requestId)
            throws RequestException {
        Tier tier = service.tier();
        if (header != null) {
            tier =
                    tier.lowerOf(
                            Tier.ofLabel(header)
                                    .orElseThrow(
                                            () ->
                                                    malformed(
                                                            "the header Persimmonreel-Tier names"
                                                                    + " no tier",
                                                            requestId)));
        }
        return parent.isPresent() ? tier.lowerOf(parent.get().tier()) : tier;
    }

    private static long deadlineNanos(
            final String header,
            final ServiceSpec service,
            final Optional<Submission> parent,
            final long nowNanos,
            final String requestId)
            throws RequestException {
        long remainingNanos = service.deadline().toNanos();
        if (header != null) {
            if (!header.matches("[1-9][0-9]{0,9}")) {
                throw malformed(
                        "the header Persimmonreel-Deadline is not a number of milliseconds",
                        requestId);
            }
            remainingNanos =
                    Math.min(remainingNanos, Duration.ofMillis(Long.parseLong(header)).toNanos());
        }
        if (parent.isPresent()) {
            remainingNanos = Math.min(remainingNanos, parent.get().deadlineNanos() - nowNanos);
        }
        return nowNanos + remainingNanos;
    }
}
