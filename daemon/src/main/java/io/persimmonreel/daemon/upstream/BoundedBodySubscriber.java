package io.persimmonreel.daemon.upstream;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.http.HttpResponse;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Flow;

/**
 * Collects a response body up to a maximum size. A larger body fails and its connection is closed.
 * The body is kept in the chunks that arrived, since joining them would need twice the memory.
 */
final class BoundedBodySubscriber implements HttpResponse.BodySubscriber<List<byte[]>> {
    private final int mMaximumBytes;
    private final List<byte[]> mChunks = new ArrayList<>();
    private final CompletableFuture<List<byte[]>> mBody = new CompletableFuture<>();
    private volatile Flow.Subscription mSubscription;
    private int mReceivedBytes;

    BoundedBodySubscriber(final int maximumBytes) {
        mMaximumBytes = maximumBytes;
    }

    /**
     * Creates a subscriber that returns the body as one array.
     *
     * @param maximumBytes the maximum size of the body in bytes
     * @return a subscriber for one body
     */
    static HttpResponse.BodySubscriber<byte[]> ofByteArray(final int maximumBytes) {
        return HttpResponse.BodySubscribers.mapping(
                new BoundedBodySubscriber(maximumBytes), BoundedBodySubscriber::join);
    }

    @Override
    public CompletionStage<List<byte[]>> getBody() {
        return mBody;
    }

    @Override
    public void onSubscribe(final Flow.Subscription subscription) {
        mSubscription = subscription;
        subscription.request(Long.MAX_VALUE);
    }

    @Override
    public void onNext(final List<ByteBuffer> buffers) {
        for (final ByteBuffer buffer : buffers) {
            if (buffer.remaining() > mMaximumBytes - mReceivedBytes) {
                mSubscription.cancel();
                mChunks.clear();
                mBody.completeExceptionally(
                        new IOException("answer is over " + mMaximumBytes + " bytes"));
                return;
            }
            final byte[] bytes = new byte[buffer.remaining()];
            buffer.get(bytes);
            mChunks.add(bytes);
            mReceivedBytes += bytes.length;
        }
    }

    @Override
    public void onError(final Throwable error) {
        mBody.completeExceptionally(error);
    }

    @Override
    public void onComplete() {
        mBody.complete(mChunks);
    }

    private static byte[] join(final List<byte[]> chunks) {
        final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        chunks.forEach(chunk -> bytes.write(chunk, 0, chunk.length));
        return bytes.toByteArray();
    }
}
