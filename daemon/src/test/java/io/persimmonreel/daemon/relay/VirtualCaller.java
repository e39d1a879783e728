package io.persimmonreel.daemon.relay;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.SplittableRandom;

/** Sends requests over one connection to a relay and checks the responses. */
final class VirtualCaller {
    static final String ATTEMPT = "Persimmonreel-Attempt";
    private static final int LONG_BODY_BYTES = 600;

    private final VirtualChannel mChannel;
    private final Deque<VirtualRequest> mUnanswered = new ArrayDeque<>();
    private final Deque<byte[]> mParts = new ArrayDeque<>();
    private final EmbeddedChannel mDecoder = new EmbeddedChannel(new HttpResponseDecoder());
    private final ByteArrayOutputStream mBody = new ByteArrayOutputStream();
    private int mStatus;
    private boolean mOfReplica;

    VirtualCaller(final VirtualChannel channel) {
        mChannel = channel;
    }

    VirtualChannel channel() {
        return mChannel;
    }

    boolean isOpen() {
        return mChannel.isOpen();
    }

    /** Returns the number of requests whose responses are not complete. */
    int unanswered() {
        return mUnanswered.size();
    }

    boolean hasParts() {
        return !mParts.isEmpty();
    }

    /** Queues a request, in parts that arrive in reads of their own. */
    void add(final VirtualRequest request, final SplittableRandom random) {
        mUnanswered.add(request);
        final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        final boolean chunked = request.body().length > 0 && random.nextInt(3) == 0;
        write(
                bytes,
                headOf(request)
                        + (random.nextInt(8) == 0 ? "Connection: close\r\n" : "")
                        + (random.nextInt(6) == 0 ? "Persimmonreel-Deadline: 400\r\n" : "")
                        + (chunked
                                ? "Transfer-Encoding: chunked\r\n\r\n"
                                : "Content-Length: " + request.body().length + "\r\n\r\n"));
        if (chunked) {
            write(bytes, Integer.toHexString(request.body().length) + "\r\n");
        }
        bytes.writeBytes(request.body());
        if (chunked) {
            write(bytes, "\r\n0\r\n\r\n");
        }
        VirtualReplicaConnection.split(bytes.toByteArray(), random).forEach(mParts::add);
    }

    /** Sends a whole request at once. */
    void send(final VirtualRequest request, final long deadlineMillis) {
        send(request, deadlineMillis, "");
    }

    /** Sends a request that continues the stream of another attempt after its first event. */
    void takeUp(final VirtualRequest request, final long deadlineMillis, final String attempt) {
        send(
                request,
                deadlineMillis,
                "Persimmonreel-Resumes: " + attempt + "\r\nLast-Event-ID: 1\r\n");
    }

    private void send(
            final VirtualRequest request, final long deadlineMillis, final String fields) {
        mUnanswered.add(request);
        final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        write(
                bytes,
                headOf(request)
                        + fields
                        + "Persimmonreel-Deadline: "
                        + deadlineMillis
                        + "\r\nContent-Length: "
                        + request.body().length
                        + "\r\n\r\n");
        bytes.writeBytes(request.body());
        mChannel.receive(bytes.toByteArray());
    }

    /** Returns the head of a request up to the fields that differ. */
    private static String headOf(final VirtualRequest request) {
        return "POST "
                + request.kind().prefix()
                + request.id()
                + " HTTP/1.1\r\nHost: acme.example\r\nAuthorization: Bearer "
                + RelayFixture.KEY
                + "\r\n"
                + ATTEMPT
                + ": "
                + request.id()
                + "\r\n";
    }

    /** Draws the body of a request. */
    static byte[] body(final String id, final SplittableRandom random) {
        final int kind = random.nextInt(6);
        return (kind == 0 ? "" : id + "x".repeat(kind < 3 ? LONG_BODY_BYTES : 0))
                .getBytes(StandardCharsets.UTF_8);
    }

    void sendPart() {
        final byte[] part = mParts.poll();
        if (part != null) {
            mChannel.receive(part);
        }
    }

    void leave(final boolean inOrder) {
        if (inOrder) {
            mChannel.close();
        } else {
            mChannel.reset();
        }
        mUnanswered.forEach(VirtualRequest::onCallerGone);
    }

    /** Closes the connection and releases what was received. */
    void close() {
        mChannel.close();
        mDecoder.finishAndReleaseAll();
    }

    /** Reads and checks what the relay wrote. */
    boolean read() {
        final byte[] sent = mChannel.takeSent();
        if (sent.length > 0) {
            mDecoder.writeInbound(Unpooled.wrappedBuffer(sent));
            Object part = mDecoder.readInbound();
            while (part != null) {
                onPart(part);
                ReferenceCountUtil.release(part);
                part = mDecoder.readInbound();
            }
        }
        return sent.length > 0;
    }

    @Override
    public String toString() {
        return mUnanswered.stream().map(VirtualRequest::id).toList()
                + " status "
                + mStatus
                + " body "
                + mBody.size()
                + " unsent "
                + mParts.size();
    }

    private void onPart(final Object part) {
        if (part instanceof HttpResponse response) {
            if (mUnanswered.isEmpty()) {
                throw new AssertionError("an answer without a request: " + response);
            }
            if (response.decoderResult().isFailure()) {
                throw new AssertionError("bytes that are no answer for " + mUnanswered.peek().id());
            }
            mStatus = response.status().code();
            mOfReplica = response.headers().contains(ATTEMPT);
            mUnanswered.peek().onResponseHead(mStatus, response.headers().get(ATTEMPT));
            mBody.reset();
        }
        if (part instanceof HttpContent content) {
            try {
                content.content().readBytes(mBody, content.content().readableBytes());
            } catch (final IOException e) {
                throw new IllegalStateException(e);
            }
            if (content instanceof LastHttpContent) {
                final VirtualRequest request = mUnanswered.poll();
                if (mOfReplica) {
                    request.onResponseEnd(mStatus, mBody.toByteArray());
                }
            }
        }
    }

    private static void write(final ByteArrayOutputStream bytes, final String text) {
        bytes.writeBytes(text.getBytes(StandardCharsets.UTF_8));
    }
}
