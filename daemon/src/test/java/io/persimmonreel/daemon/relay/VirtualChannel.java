package io.persimmonreel.daemon.relay;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.AbstractChannel;
import io.netty.channel.Channel;
import io.netty.channel.ChannelConfig;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelMetadata;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.ChannelPromise;
import io.netty.channel.DefaultChannelConfig;
import io.netty.channel.EventLoop;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.SocketAddress;

/**
 * Connects handlers with a test instead of a socket. Bytes move only when the test reads or writes
 * them.
 */
final class VirtualChannel extends AbstractChannel {
    private static final ChannelMetadata METADATA = new ChannelMetadata(false);
    private static final WriteBufferWaterMark WATER_MARK = new WriteBufferWaterMark(256, 1_024);

    private final ChannelConfig mConfig = new DefaultChannelConfig(this);
    private final ByteArrayOutputStream mSent = new ByteArrayOutputStream();
    private boolean mOpen = true;
    private boolean mFailsWrites;
    private int mWritableBytes = Integer.MAX_VALUE;

    VirtualChannel(
            final VirtualEventLoop loop,
            final ByteBufAllocator allocator,
            final ChannelInitializer<Channel> initializer) {
        super(null);
        mConfig.setAllocator(allocator).setWriteBufferWaterMark(WATER_MARK);
        pipeline().addLast(initializer);
        loop.register(this);
    }

    /** Hands bytes of the peer to the handlers in one read. */
    void receive(final byte[] bytes) {
        if (mOpen) {
            pipeline().fireChannelRead(mConfig.getAllocator().buffer().writeBytes(bytes));
            pipeline().fireChannelReadComplete();
        }
    }

    /** Reports the end of the input, as a channel that allows a half closure does. */
    void endInput() {
        if (mOpen) {
            pipeline().fireUserEventTriggered(ChannelInputShutdownEvent.INSTANCE);
        }
    }

    /** Reports a reset by the peer, which is met in a read. */
    void reset() {
        if (mOpen) {
            pipeline().fireExceptionCaught(new IOException("Connection reset by peer"));
            close();
        }
    }

    /** Makes writes fail from now on, also those that wait. */
    void failWrites() {
        mFailsWrites = true;
        if (mOpen) {
            flush();
        }
    }

    /** Limits the bytes that the handlers can write until the next call. */
    void limitWrites(final int bytes) {
        mWritableBytes = bytes;
        if (mOpen) {
            flush();
        }
    }

    /** Returns whether the handlers want to read. */
    boolean isReading() {
        return mConfig.isAutoRead();
    }

    /** Removes and returns the bytes that the handlers wrote. */
    byte[] takeSent() {
        final byte[] sent = mSent.toByteArray();
        mSent.reset();
        return sent;
    }

    @Override
    protected void doWrite(final ChannelOutboundBuffer buffer) throws IOException {
        if (mFailsWrites) {
            throw new IOException("Broken pipe");
        }
        while (buffer.current() instanceof ByteBuf bytes
                && (mWritableBytes > 0 || !bytes.isReadable())) {
            final int count = Math.min(mWritableBytes, bytes.readableBytes());
            mSent.writeBytes(ByteBufUtil.getBytes(bytes, bytes.readerIndex(), count));
            mWritableBytes -= mWritableBytes == Integer.MAX_VALUE ? 0 : count;
            buffer.removeBytes(count);
        }
    }

    @Override
    protected AbstractUnsafe newUnsafe() {
        return new AbstractUnsafe() {
            @Override
            public void connect(
                    final SocketAddress remote,
                    final SocketAddress local,
                    final ChannelPromise promise) {
                throw new UnsupportedOperationException();
            }
        };
    }

    @Override
    protected boolean isCompatible(final EventLoop loop) {
        return loop instanceof VirtualEventLoop;
    }

    @Override
    protected SocketAddress localAddress0() {
        return null;
    }

    @Override
    protected SocketAddress remoteAddress0() {
        return null;
    }

    @Override
    protected void doBind(final SocketAddress address) {
        throw new UnsupportedOperationException();
    }

    @Override
    protected void doDisconnect() {
        doClose();
    }

    @Override
    protected void doClose() {
        mOpen = false;
    }

    @Override
    protected void doBeginRead() {
        // The test decides what is read.
    }

    @Override
    public ChannelConfig config() {
        return mConfig;
    }

    @Override
    public boolean isOpen() {
        return mOpen;
    }

    @Override
    public boolean isActive() {
        return mOpen;
    }

    @Override
    public ChannelMetadata metadata() {
        return METADATA;
    }
}
