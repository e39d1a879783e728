package io.persimmonreel.daemon.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.EventLoop;
import io.persimmonreel.core.customer.QuotaDecision;
import io.persimmonreel.core.request.Problem;
import io.persimmonreel.core.request.ProblemType;
import io.persimmonreel.core.request.RequestException;
import io.persimmonreel.core.request.Step;
import io.persimmonreel.daemon.request.Submission;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import ratpack.exec.Downstream;
import ratpack.exec.Promise;
import ratpack.handling.Context;
import ratpack.handling.Handler;
import ratpack.http.ResponseChunks;
import ratpack.http.TypedData;

/** Handles requests of callers to a service: {@code POST /v1/services/{service}/requests}. */
final class RequestHandler implements Handler {
    private static final long STALL_CHECK_SECONDS = 2;

    /**
     * The time that a caller has after the deadline of its request to read the rest of its answer.
     */
    private static final Duration READ_GRACE_PERIOD = Duration.ofSeconds(60);

    private final CallerParts mParts;
    private final RequestHeadReader mHeadReader;
    private final BodyReader mBodyReader = new BodyReader();
    private final ResponseWriter mResponseWriter;

    RequestHandler(
            final CallerParts parts,
            final RequestHeadReader headReader,
            final ResponseWriter responseWriter) {
        mParts = parts;
        mHeadReader = headReader;
        mResponseWriter = responseWriter;
    }

    @Override
    public void handle(final Context context) {
        final String requestId = mParts.requestIds().get();
        context.getRequest().add(CurrentRequestId.class, new CurrentRequestId(requestId));
        final String service = context.getPathTokens().get("service");
        try {
            final RequestHead head =
                    mHeadReader.read(context.getRequest().getHeaders()::get, service, requestId);
            admit(context, head);
            readBody(context, head);
        } catch (final RequestException e) {
            mResponseWriter.refuse(context, service, e.problem());
        }
    }

    /** Admits a request under its customer's quota and releases it when the request ends. */
    private void admit(final Context context, final RequestHead head) throws RequestException {
        final QuotaDecision decision = mParts.customers().admit(head.customer().id());
        if (decision.verdict() == QuotaDecision.Verdict.UNKNOWN_CUSTOMER) {
            throw RequestHeadReader.unauthorized(head.requestId());
        }
        if (!decision.isAdmitted()) {
            throw new RequestException(
                    new Problem(
                            ProblemType.QUOTA_EXCEEDED,
                            decision.verdict() == QuotaDecision.Verdict.TOO_MANY_CONCURRENT
                                    ? "the customer has too many requests in progress"
                                    : "the customer sends too many requests a second",
                            RequestHeadReader.outcomeWithoutClaim(head),
                            head.requestId(),
                            decision.retryAfterMillis(),
                            Step.ADMIT,
                            ""));
        }
        final AtomicBoolean released = new AtomicBoolean();
        whenEnded(
                context,
                () -> {
                    if (released.compareAndSet(false, true)) {
                        mParts.customers().release(head.customer().id());
                    }
                });
    }

    /** Runs an action when the response is sent or the connection closes; it may run twice. */
    private static void whenEnded(final Context context, final Runnable action) {
        final ChannelFuture closed = channel(context).closeFuture();
        final ChannelFutureListener listener = future -> action.run();
        closed.addListener(listener);
        context.onClose(
                outcome -> {
                    // Otherwise a connection that is kept open would collect listeners.
                    closed.removeListener(listener);
                    action.run();
                });
    }

    private void readBody(final Context context, final RequestHead head) {
        context.getRequest()
                .getBody(
                        head.service().maximumBodyBytes(),
                        () ->
                                mResponseWriter.refuse(
                                        context, head.service().id(), tooLarge(head).problem()))
                .then(body -> submit(context, head, body));
    }

    private void submit(final Context context, final RequestHead head, final TypedData body) {
        final Submission submission;
        try {
            submission = mBodyReader.read(head, body.getBytes());
        } catch (final RequestException e) {
            mResponseWriter.refuse(context, head.service().id(), e.problem());
            return;
        }
        final long remainingNanos = head.deadlineNanos() - mParts.time().monotonicNanos();
        context.getRequest()
                .setIdleTimeout(
                        Duration.ofNanos(Math.max(0, remainingNanos)).plus(READ_GRACE_PERIOD));
        final Channel channel = channel(context);
        final EventPublisher events =
                new EventPublisher(
                        channel.eventLoop(), mParts.time()::monotonicNanos, channel::close);
        Promise.<ResponseSink.Response>async(
                        down -> submitAndWatchConnection(context, head, submission, events, down))
                .then(response -> respond(context, response, events));
    }

    private void submitAndWatchConnection(
            final Context context,
            final RequestHead head,
            final Submission submission,
            final EventPublisher events,
            final Downstream<? super ResponseSink.Response> down) {
        final ResponseSink sink =
                new ResponseSink(head.requestId(), head.streamed(), events, down::success);
        mParts.coordinator().submit(submission, sink);
        // Neither call has an effect after the end of the request.
        whenEnded(
                context,
                () -> {
                    mParts.coordinator().cancel(head.requestId());
                    sink.abandon();
                });
    }

    private void respond(
            final Context context,
            final ResponseSink.Response response,
            final EventPublisher events) {
        if (response instanceof ResponseSink.Response.Failure failure) {
            mResponseWriter.sendProblem(context, failure.problem());
        } else if (response instanceof ResponseSink.Response.WholeAnswer whole) {
            mResponseWriter.sendAnswer(context, whole.answer());
        } else if (response instanceof ResponseSink.Response.ConnectionClosed) {
            context.getResponse().send();
        } else {
            mResponseWriter.addCommonHeaders(context);
            scheduleStallChecks(channel(context).eventLoop(), events);
            context.render(ResponseChunks.stringChunks("text/event-stream;charset=UTF-8", events));
        }
    }

    private static void scheduleStallChecks(final EventLoop loop, final EventPublisher events) {
        loop.schedule(
                () -> {
                    if (!events.checkStall()) {
                        scheduleStallChecks(loop, events);
                    }
                },
                STALL_CHECK_SECONDS,
                TimeUnit.SECONDS);
    }

    private static RequestException tooLarge(final RequestHead head) {
        return RequestHeadReader.refusal(
                ProblemType.BODY_TOO_LARGE,
                "the body is over " + head.service().maximumBodyBytes() + " bytes",
                RequestHeadReader.outcomeWithoutClaim(head),
                head.requestId(),
                Step.RECEIVE);
    }

    private static Channel channel(final Context context) {
        return context.getDirectChannelAccess().getChannel();
    }
}
