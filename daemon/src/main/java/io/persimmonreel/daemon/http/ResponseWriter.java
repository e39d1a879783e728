package io.persimmonreel.daemon.http;

import io.persimmonreel.core.explain.DecisionRecord;
import io.persimmonreel.core.request.Outcome;
import io.persimmonreel.core.request.Problem;
import io.persimmonreel.core.request.ProblemType;
import io.persimmonreel.core.request.Step;
import io.persimmonreel.core.service.ServiceSpec;
import io.persimmonreel.daemon.request.Answer;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.nio.charset.StandardCharsets;
import ratpack.error.ClientErrorHandler;
import ratpack.error.ServerErrorHandler;
import ratpack.handling.Context;
import ratpack.http.ConnectionClosedException;

/** Writes responses to callers, and counts and records refusals. */
final class ResponseWriter implements ClientErrorHandler, ServerErrorHandler {
    private static final Logger LOG = System.getLogger(ResponseWriter.class.getName());

    private final CallerParts mParts;

    ResponseWriter(final CallerParts parts) {
        mParts = parts;
    }

    /**
     * Sends a problem document.
     *
     * @param context the request's context
     * @param problem the problem
     */
    void sendProblem(final Context context, final Problem problem) {
        addCommonHeaders(context);
        context.getResponse().status(problem.type().status());
        if (problem.type() == ProblemType.UNAUTHORIZED) {
            context.getResponse().getHeaders().set("WWW-Authenticate", "Bearer");
        }
        if (problem.retryAfterMillis() > 0) {
            final long seconds = (problem.retryAfterMillis() + 999) / 1000;
            context.getResponse().getHeaders().set("Retry-After", seconds);
        }
        final byte[] body = ProblemDocument.of(problem).getBytes(StandardCharsets.UTF_8);
        context.getResponse().send(ProblemDocument.MEDIA_TYPE, body);
    }

    /**
     * Refuses a request that was not submitted: counts and records it and sends a problem document.
     *
     * @param context the request's context
     * @param serviceId the service's id as the caller gave it, may be empty
     * @param problem the problem
     */
    void refuse(final Context context, final String serviceId, final Problem problem) {
        recordRefusal(serviceId, problem);
        sendProblem(context, problem);
    }

    /**
     * Counts and records the refusal of a request that is not valid HTTP. Its idempotency key can't
     * be read, so that an earlier request with the same key may have run.
     *
     * @return the problem to answer with
     */
    Problem recordMalformedRequest() {
        final Problem problem =
                new Problem(
                        ProblemType.BAD_REQUEST,
                        "the request is malformed or its headers are too large",
                        Outcome.MAY_HAVE_RUN,
                        "",
                        0,
                        Step.RECEIVE,
                        "");
        recordRefusal("", problem);
        return problem;
    }

    private void recordRefusal(final String serviceId, final Problem problem) {
        final String knownId =
                mParts.configuration()
                        .get()
                        .flatMap(configuration -> configuration.service(serviceId))
                        .map(ServiceSpec::id)
                        .orElse(RefusalObserver.UNKNOWN_SERVICE);
        mParts.refusals().onRefused(knownId, problem.type());
        mParts.decisions()
                .add(
                        new DecisionRecord(
                                mParts.time().wallMillis(),
                                problem.requestId(),
                                problem.step(),
                                "refused",
                                knownId,
                                problem.detail()));
    }

    /**
     * Sends a whole answer.
     *
     * @param context the request's context
     * @param answer the answer
     */
    void sendAnswer(final Context context, final Answer answer) {
        addCommonHeaders(context);
        context.getResponse().status(answer.status());
        context.getResponse().send(answer.contentType(), answer.body());
    }

    /**
     * Adds the headers of all responses: the request's id, the configuration version, and the end
     * of the connection if the daemon is draining.
     *
     * @param context the request's context
     */
    void addCommonHeaders(final Context context) {
        // On a connection that is kept open, the next request could meet the end of the process.
        if (mParts.coordinator().isDraining()) {
            context.getResponse().getHeaders().set("Connection", "close");
        }
        context.getRequest()
                .maybeGet(CurrentRequestId.class)
                .ifPresent(
                        id ->
                                context.getResponse()
                                        .getHeaders()
                                        .set("Persimmonreel-Request-Id", id.requestId()));
        mParts.configuration()
                .get()
                .ifPresent(
                        configuration ->
                                context.getResponse()
                                        .getHeaders()
                                        .set(
                                                "Persimmonreel-Config-Version",
                                                configuration.version()));
    }

    @Override
    public void error(final Context context, final int statusCode) {
        final ProblemType type =
                statusCode == 413
                        ? ProblemType.BODY_TOO_LARGE
                        : statusCode == 404 ? ProblemType.UNKNOWN_SERVICE : ProblemType.BAD_REQUEST;
        refuse(
                context,
                "",
                new Problem(
                        type,
                        "no such resource or method",
                        Outcome.NOT_RUN,
                        requestId(context),
                        0,
                        Step.RECEIVE,
                        ""));
    }

    @Override
    public void error(final Context context, final Throwable error) {
        final String id = requestId(context);
        if (error instanceof ConnectionClosedException) {
            LOG.log(Level.DEBUG, "http: the caller of request {0} closed the connection", id);
        } else {
            LOG.log(Level.ERROR, "http: request " + id + " failed with an internal error", error);
        }
        sendProblem(
                context,
                new Problem(
                        ProblemType.OUTCOME_UNKNOWN,
                        "the daemon failed",
                        Outcome.MAY_HAVE_RUN,
                        id,
                        0,
                        Step.RECEIVE,
                        ""));
    }

    private static String requestId(final Context context) {
        return context.getRequest()
                .maybeGet(CurrentRequestId.class)
                .map(CurrentRequestId::requestId)
                .orElse("");
    }
}
