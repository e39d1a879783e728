package io.persimmonreel.daemon.relay;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;

/** Plays a replica on one connection: takes requests, and sends what its script draws. */
final class VirtualReplicaConnection {
    private static final int MAXIMUM_PARTS = 4;
    private static final int SLOW_BYTES = 100;
    private static final int MAXIMUM_TRACED = 160;

    private final int mPort;
    private final VirtualChannel mChannel;
    private final VirtualRelay mRelay;
    private final VirtualReplicaScript mScript;
    private final Deque<Output> mOutputs = new ArrayDeque<>();
    private final EmbeddedChannel mDecoder = new EmbeddedChannel(new HttpRequestDecoder());
    private final Set<String> mAnswered = new HashSet<>();
    private final ByteArrayOutputStream mBody = new ByteArrayOutputStream();
    private VirtualRequest mRequest;
    private VirtualRequest.Answer mAnswer;
    private boolean mAnswering;
    private boolean mInExchange;
    private int mResumeAfter;
    private int mRequests;
    private String mLastRequest = "";

    /** Lists what happens after the bytes of an output. */
    enum Then {
        NOTHING,
        END,
        RESET,
        FAIL_WRITES
    }

    /**
     * Holds bytes that arrive in one read.
     *
     * @param bytes the bytes, may be empty
     * @param isLast whether they complete the answer to the current request
     * @param then what follows them
     */
    record Output(byte[] bytes, boolean isLast, Then then) {}

    VirtualReplicaConnection(
            final int port,
            final VirtualChannel channel,
            final VirtualRelay relay,
            final VirtualReplicaScript script) {
        mPort = port;
        mChannel = channel;
        mRelay = relay;
        mScript = script;
        if (relay.random().nextInt(3) == 0) {
            channel.limitWrites(SLOW_BYTES);
        }
    }

    int port() {
        return mPort;
    }

    /** Returns the id of the request that arrived last. */
    String lastRequest() {
        return mLastRequest;
    }

    /** Returns the number of requests that have arrived. */
    int requests() {
        return mRequests;
    }

    VirtualChannel channel() {
        return mChannel;
    }

    boolean hasOutput() {
        return !mOutputs.isEmpty() && mChannel.isOpen() && mChannel.isReading();
    }

    /** Returns the relay's record of the last exchange, null if there is none. */
    UpstreamExchange exchange() {
        final UpstreamConnection connection = mChannel.pipeline().get(UpstreamConnection.class);
        return connection == null ? null : connection.exchange();
    }

    /** Returns whether an exchange is in progress at the relay. */
    boolean isBusy() {
        final UpstreamConnection connection = mChannel.pipeline().get(UpstreamConnection.class);
        return connection != null
                && mChannel.isOpen()
                && !connection.isIdle()
                && !connection.isIgnoring();
    }

    /** Returns whether the relay keeps the connection for further requests but does not read. */
    boolean isIdleUnread() {
        final UpstreamConnection connection = mChannel.pipeline().get(UpstreamConnection.class);
        return connection != null && connection.isIdle() && !mChannel.isReading();
    }

    /**
     * Ends an idle or busy connection. An answer that ends with the connection is reset, since the
     * end of the input would complete it.
     */
    void breakOff(final Then how) {
        final boolean completes =
                how == Then.END && mInExchange && mAnswer != null && mAnswer.endsWithConnection();
        mOutputs.clear();
        mOutputs.add(new Output(new byte[0], false, completes ? Then.RESET : how));
    }

    /** Sends the next output and describes it. */
    String sendNext() {
        final Output output = mOutputs.poll();
        if (output.isLast()) {
            mInExchange = false;
            mAnswer.onComplete();
        }
        if (output.bytes().length > 0) {
            mChannel.receive(output.bytes());
        }
        switch (output.then()) {
            case END -> mChannel.endInput();
            case RESET -> mChannel.reset();
            case FAIL_WRITES -> mChannel.failWrites();
            default -> {}
        }
        final String text = new String(output.bytes(), StandardCharsets.UTF_8);
        return mChannel.id().asShortText()
                + " "
                + text.substring(0, Math.min(text.length(), MAXIMUM_TRACED)).replace("\r\n", "|")
                + " "
                + output.then();
    }

    /** Closes the connection and releases what was received. */
    void close() {
        mChannel.close();
        mDecoder.finishAndReleaseAll();
    }

    /** Takes what the relay wrote. */
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

    private void onPart(final Object part) {
        if (part instanceof HttpRequest request) {
            onRequest(request);
        }
        if (part instanceof HttpContent content) {
            try {
                content.content().readBytes(mBody, content.content().readableBytes());
            } catch (final IOException e) {
                throw new IllegalStateException(e);
            }
            if (content instanceof LastHttpContent) {
                mRequest.check(
                        Arrays.equals(mRequest.body(), mBody.toByteArray()),
                        "reaches a replica with another body");
                if (!mAnswering) {
                    answer();
                }
                mRequest = null;
            }
        }
    }

    private void onRequest(final HttpRequest request) {
        final String id = request.headers().get(VirtualCaller.ATTEMPT);
        if (mInExchange) {
            throw new AssertionError("request " + id + " reaches a replica inside an exchange");
        }
        mRequest = id == null ? null : mRelay.request(id);
        if (mRequest == null || request.decoderResult().isFailure()) {
            throw new AssertionError("a replica gets a request that nobody sent: " + id);
        }
        mRequest.onArrival();
        mRequests++;
        mLastRequest = id;
        mInExchange = true;
        mBody.reset();
        mAnswering = false;
        mResumeAfter = request.headers().getInt("Last-Event-ID", 0);
        if (mRelay.random().nextInt(3) == 0) {
            answer();
        }
    }

    private void answer() {
        mAnswering = true;
        mAnswer = mScript.answer(mRequest, mResumeAfter, mOutputs);
        if (mAnswer != null && mAnswered.add(mRequest.id())) {
            mRequest.addAnswer(mAnswer);
        }
    }

    /** Splits bytes at random places, or not at all. */
    static List<byte[]> split(final byte[] bytes, final SplittableRandom random) {
        final List<Integer> cuts = new ArrayList<>();
        for (int i = random.nextInt(2) * random.nextInt(MAXIMUM_PARTS); i > 0; i--) {
            cuts.add(random.nextInt(bytes.length + 1));
        }
        Collections.sort(cuts);
        cuts.add(bytes.length);
        final List<byte[]> parts = new ArrayList<>();
        int from = 0;
        for (final int to : cuts) {
            if (to > from) {
                parts.add(Arrays.copyOfRange(bytes, from, to));
            }
            from = to;
        }
        return parts;
    }

    static byte[] bytes(final String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }
}
