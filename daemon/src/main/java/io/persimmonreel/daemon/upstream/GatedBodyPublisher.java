package io.persimmonreel.daemon.upstream;

import java.net.http.HttpRequest;
import java.nio.ByteBuffer;
import java.util.concurrent.Flow;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;

/**
 * Publishes a request body at most once, and only if a {@link DispatchGate} allows it.
 *
 * <p>The JDK's HTTP client asks for the content length before it writes the request header, which
 * is the first thing it writes. A request whose content length was never asked for is therefore
 * known not to have been sent. A second subscription is rejected, so that no retry inside the HTTP
 * client can send a request twice.
 */
final class GatedBodyPublisher implements HttpRequest.BodyPublisher {
    private enum Decision {
        PENDING,
        ALLOWED,
        DENIED
    }

    private final byte[] mBytes;
    private final DispatchGate mGate;
    private final AtomicReference<Decision> mDecision = new AtomicReference<>(Decision.PENDING);
    private final AtomicBoolean mSubscribed = new AtomicBoolean();

    GatedBodyPublisher(final byte[] bytes, final DispatchGate gate) {
        mBytes = bytes;
        mGate = gate;
    }

    /**
     * Tells whether any part of the request may have been written.
     *
     * @return false if certainly no byte was written
     */
    boolean mayHaveBeenSent() {
        return mDecision.get() == Decision.ALLOWED;
    }

    @Override
    public long contentLength() {
        if (!tryDispatchOnce()) {
            throw new IllegalStateException("request was given up before its first byte");
        }
        return mBytes.length;
    }

    @Override
    public void subscribe(final Flow.Subscriber<? super ByteBuffer> subscriber) {
        final boolean allowed = tryDispatchOnce();
        if (allowed && mSubscribed.compareAndSet(false, true)) {
            HttpRequest.BodyPublishers.ofByteArray(mBytes).subscribe(subscriber);
            return;
        }
        subscriber.onSubscribe(
                new Flow.Subscription() {
                    @Override
                    public void request(final long count) {
                        // Nothing is published, only the error below.
                    }

                    @Override
                    public void cancel() {
                        // There is nothing to release.
                    }
                });
        subscriber.onError(new IllegalStateException("request body is sent at most once"));
    }

    private synchronized boolean tryDispatchOnce() {
        if (mDecision.get() == Decision.PENDING) {
            mDecision.set(mGate.tryDispatch() ? Decision.ALLOWED : Decision.DENIED);
        }
        return mDecision.get() == Decision.ALLOWED;
    }
}
