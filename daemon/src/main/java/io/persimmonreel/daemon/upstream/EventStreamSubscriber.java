package io.persimmonreel.daemon.upstream;

import io.persimmonreel.core.request.Step;
import java.net.http.HttpResponse;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Flow;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * Reads a token stream from a response body of server-sent events and passes the validated events
 * to a listener, which receives exactly one end or failure unless the call is aborted.
 *
 * <p>The connection is closed when the stream is invalid, when bytes follow the end event, or when
 * the response does not end soon after it, so that a later request can't receive leftover bytes.
 */
final class EventStreamSubscriber implements HttpResponse.BodySubscriber<Void>, StreamCall {
    /** The connection is closed if the response has not ended this long after the end event. */
    private static final long RESPONSE_END_TIMEOUT_MILLIS = 1000;

    private final String mReplicaId;
    private final StreamListener mListener;
    private final StreamValidator mValidator;
    private final ServerSentEventParser mParser;
    private final AtomicBoolean mClosed = new AtomicBoolean();
    private final CompletableFuture<Void> mBody = new CompletableFuture<>();
    private volatile Flow.Subscription mSubscription;

    EventStreamSubscriber(
            final String replicaId,
            final String streamId,
            final int nextIndex,
            final int maximumTokens,
            final StreamListener listener) {
        mReplicaId = replicaId;
        mListener = listener;
        mValidator =
                new StreamValidator(
                        replicaId, streamId, nextIndex, maximumTokens, new ForwardingListener());
        mParser = new ServerSentEventParser(mValidator);
    }

    @Override
    public CompletionStage<Void> getBody() {
        return mBody;
    }

    @Override
    public void onSubscribe(final Flow.Subscription subscription) {
        mSubscription = subscription;
        if (mClosed.get()) {
            subscription.cancel();
        } else {
            subscription.request(Long.MAX_VALUE);
        }
    }

    @Override
    public void onNext(final List<ByteBuffer> buffers) {
        try {
            for (final ByteBuffer buffer : buffers) {
                if (mValidator.isEnded() && buffer.hasRemaining()) {
                    throw failure(UpstreamFault.INVALID_RESPONSE, "bytes follow the end mark");
                }
                if (!mClosed.get() && !mParser.parse(buffer)) {
                    throw failure(UpstreamFault.INVALID_RESPONSE, "an event is too long");
                }
            }
        } catch (final UpstreamException e) {
            cancel();
            fail(e);
        }
    }

    @Override
    public void onError(final Throwable error) {
        mBody.complete(null);
        fail(
                failure(
                        UpstreamFault.BROKEN,
                        "connection broke after token " + mValidator.nextIndex()));
    }

    @Override
    public void onComplete() {
        mBody.complete(null);
        fail(
                failure(
                        UpstreamFault.BROKEN,
                        "stream ended early after token " + mValidator.nextIndex()));
    }

    /**
     * Closes the connection and reports a failure to the listener, unless the stream has ended or
     * was aborted.
     *
     * @param failure the failure
     */
    void fail(final UpstreamException failure) {
        if (mClosed.compareAndSet(false, true)) {
            cancel();
            mListener.onFailure(failure);
        }
    }

    @Override
    public void abort() {
        mClosed.set(true);
        cancel();
    }

    private void cancel() {
        final Flow.Subscription subscription = mSubscription;
        if (subscription != null) {
            subscription.cancel();
        }
        mBody.complete(null);
    }

    private UpstreamException failure(final UpstreamFault fault, final String message) {
        return new UpstreamException(Step.STREAM, mReplicaId, fault, message);
    }

    /** Passes validated events to the listener until the stream has ended or was aborted. */
    private final class ForwardingListener implements StreamListener {
        @Override
        public void onToken(final int index, final String text) {
            if (!mClosed.get()) {
                mListener.onToken(index, text);
            }
        }

        @Override
        public void onEnd(final int tokens) {
            if (mClosed.compareAndSet(false, true)) {
                CompletableFuture.delayedExecutor(
                                RESPONSE_END_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                        .execute(EventStreamSubscriber.this::cancel);
                mListener.onEnd(tokens);
            }
        }

        @Override
        public void onFailure(final UpstreamException failure) {
            fail(failure);
        }
    }
}
