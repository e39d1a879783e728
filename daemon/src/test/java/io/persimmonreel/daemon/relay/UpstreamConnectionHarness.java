package io.persimmonreel.daemon.relay;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.channel.socket.ChannelInputShutdownReadComplete;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.DefaultThreadFactory;
import io.persimmonreel.core.replica.Replica;
import io.persimmonreel.core.replica.ReplicaEntry;
import io.persimmonreel.daemon.time.SystemTimeSource;
import java.io.IOException;
import java.nio.charset.Charset;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.atomic.AtomicReference;

/**
 * Drives one connection to a replica, with the codec of the pool, in a channel without a socket.
 *
 * <p>Each call of {@link #read} is one read. Ends of the connection fire the events that a channel
 * of the NIO transport with half closure fires, in the same order.
 */
final class UpstreamConnectionHarness implements AutoCloseable {
    /** Marks a success as created by a replica. */
    static final String SIGNATURE = "Signature: s\r\n";

    private static final Charset ASCII = StandardCharsets.ISO_8859_1;
    private static final int UNUSED_PORT = 1;

    /** Runs the connections that the pool opens in place of this one. */
    private static final NioEventLoopGroup GROUP =
            new NioEventLoopGroup(1, new DefaultThreadFactory("unused-connections", true));

    private final Replica mReplica =
            new Replica(
                    new ReplicaEntry("r", "app", "127.0.0.1", UNUSED_PORT, "zone", 4, false, 1));
    private final RelayDialect mDialect = new SignedDialect();
    private final UpstreamConnectionPool mPool =
            new UpstreamConnectionPool(
                    new SocketReplicaConnector(GROUP.next()), mDialect, new SystemTimeSource());
    private final UpstreamConnection mConnection =
            new UpstreamConnection(mReplica, mPool, mDialect);
    private final HeldWrites mWrites = new HeldWrites();
    private final Deque<ByteBuf> mUnread = new ArrayDeque<>();
    private boolean mDelivering;
    private final EmbeddedChannel mChannel =
            new EmbeddedChannel(
                    mWrites,
                    new HttpRequestEncoder(),
                    new UpstreamResponseDecoder(mConnection),
                    mConnection);

    UpstreamConnection connection() {
        return mConnection;
    }

    UpstreamConnectionPool pool() {
        return mPool;
    }

    /** Takes the connection out of the pool if it is there, and sends a request. */
    RecordingListener send(final String attemptId) {
        return send(attemptId, HttpMethod.POST, new RecordingListener());
    }

    <T extends ExchangeListener> T send(
            final String attemptId, final HttpMethod method, final T listener) {
        if (isPooled() && !isHandedOutFor(attemptId)) {
            throw new IllegalStateException("the pool keeps the connection back");
        }
        mConnection.send(
                attemptId,
                new DefaultFullHttpRequest(
                        HttpVersion.HTTP_1_1, method, "/", Unpooled.copiedBuffer("body", ASCII)),
                listener);
        mChannel.runPendingTasks();
        deliver();
        return listener;
    }

    /** Keeps the next requests from being written. */
    void holdWrites() {
        mWrites.mHolding = true;
    }

    /** Delivers bytes of the replica in one read, as soon as reading is enabled. */
    void read(final String bytes) {
        mUnread.add(Unpooled.copiedBuffer(bytes, ASCII));
        deliver();
    }

    /** Delivers bytes of the replica and meets a reset in the same read loop. */
    void readAndReset(final String bytes) {
        mChannel.pipeline().fireChannelRead(Unpooled.copiedBuffer(bytes, ASCII));
        resetInRead();
    }

    /** Ends the input in order. */
    void endOfInput() {
        if (mChannel.isActive()) {
            mChannel.pipeline().fireUserEventTriggered(ChannelInputShutdownEvent.INSTANCE);
            mChannel.runPendingTasks();
        }
    }

    /** Resets the connection, which is met in a read. */
    void resetInRead() {
        if (!mChannel.isActive()) {
            return;
        }
        mChannel.pipeline().fireChannelReadComplete();
        mChannel.pipeline().fireExceptionCaught(new IOException("Connection reset"));
        // The transport handles the failure of a read as the end of the input.
        mChannel.pipeline()
                .fireUserEventTriggered(
                        mChannel.isActive()
                                ? ChannelInputShutdownEvent.INSTANCE
                                : ChannelInputShutdownReadComplete.INSTANCE);
        mChannel.runPendingTasks();
    }

    /** Resets the connection, which is met in a write. */
    void resetInWrite() {
        mWrites.fail(new IOException("Broken pipe"));
        mChannel.close();
        mChannel.runPendingTasks();
    }

    boolean isOpen() {
        return mChannel.isActive();
    }

    /** Returns whether the connection waits in the pool for a request. */
    boolean isPooled() {
        return mPool.hasOpenIdle(mReplica);
    }

    /** Returns whether the pool hands the connection out for an attempt. */
    boolean isHandedOutFor(final String attemptId) {
        final AtomicReference<UpstreamConnection> acquired = new AtomicReference<>();
        final long opened = mPool.openedCount();
        mPool.acquire(
                mReplica, attemptId, false, (connection, failure) -> acquired.set(connection));
        mChannel.runPendingTasks();
        return mPool.openedCount() == opened && acquired.get() == mConnection;
    }

    @Override
    public void close() {
        mUnread.forEach(ByteBuf::release);
        mWrites.fail(new IOException("closed"));
        mChannel.finishAndReleaseAll();
    }

    private void deliver() {
        if (mDelivering) {
            return;
        }
        mDelivering = true;
        while (!mUnread.isEmpty() && mChannel.isActive() && mChannel.config().isAutoRead()) {
            mChannel.writeInbound(mUnread.poll());
        }
        mDelivering = false;
    }

    /** Completes writes at once, or holds them as a full socket does. */
    private static final class HeldWrites extends ChannelOutboundHandlerAdapter {
        private final Deque<ChannelPromise> mHeld = new ArrayDeque<>();
        private boolean mHolding;

        @Override
        public void write(
                final ChannelHandlerContext context,
                final Object message,
                final ChannelPromise promise) {
            if (mHolding) {
                ReferenceCountUtil.release(message);
                mHeld.add(promise);
            } else {
                context.write(message, promise);
            }
        }

        void fail(final IOException cause) {
            while (!mHeld.isEmpty()) {
                mHeld.poll().tryFailure(cause);
            }
        }
    }

    /** Requires a signature of a success, as the dialects of some platforms do. */
    private static final class SignedDialect implements RelayDialect {
        private final RelayDialect mDialect = new NativeDialect();

        @Override
        public CallerHeaders readRequest(final HttpRequest request) {
            return mDialect.readRequest(request);
        }

        @Override
        public void writeRequest(final HttpHeaders headers, final DispatchHeaders dispatch) {
            mDialect.writeRequest(headers, dispatch);
        }

        @Override
        public ReplicaHeaders readResponse(final HttpResponse response) {
            final ReplicaHeaders headers = mDialect.readResponse(response);
            return new ReplicaHeaders(
                    headers.attemptId(),
                    headers.notRun(),
                    response.headers().contains("Signature"),
                    headers.load(),
                    headers.rateLimit(),
                    headers.leaving(),
                    headers.retryAfterNanos());
        }

        @Override
        public String attemptField() {
            return mDialect.attemptField();
        }

        @Override
        public String retryAfter(final long millis) {
            return mDialect.retryAfter(millis);
        }
    }
}
