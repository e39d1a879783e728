package io.persimmonreel.daemon.peer;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.timeout.IdleStateEvent;
import io.persimmonreel.core.peer.PeerMessage;
import io.persimmonreel.core.request.Step;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.net.SocketAddress;

/** Handles one connection to a peer: first the handshake, then messages. */
final class PeerConnection extends SimpleChannelInboundHandler<ByteBuf> {
    private static final Logger LOG = System.getLogger(PeerConnection.class.getName());

    private final PeerTransport mTransport;
    private final PeerCodec mCodec;
    private final Handshake mHandshake;
    private volatile ChannelHandlerContext mContext;
    private volatile PeerIdentity mPeer;
    private boolean mHasSkipped;

    PeerConnection(
            final PeerTransport transport, final PeerCodec codec, final Handshake handshake) {
        mTransport = transport;
        mCodec = codec;
        mHandshake = handshake;
    }

    /**
     * Returns the peer.
     *
     * @return the authenticated peer, null until the handshake is complete
     */
    PeerIdentity peer() {
        return mPeer;
    }

    /**
     * Sends a message, or drops it if the connection is closed or its buffer is full.
     *
     * @param message the message
     * @return true if the message was passed to the connection
     */
    boolean send(final Record message) {
        try {
            final byte[] frame = mCodec.encode(message);
            mTransport.traffic().onSent(message.getClass(), frame.length, 1);
            return sendFrame(frame);
        } catch (final PeerException e) {
            LOG.log(Level.ERROR, "peer: Failed to encode a message. " + e.getMessage());
            return false;
        }
    }

    /**
     * Sends an encoded message, or drops it if the connection is closed or its buffer is full.
     *
     * @param frame the frame without its length prefix
     * @return true if the frame was passed to the connection
     */
    boolean sendFrame(final byte[] frame) {
        final ChannelHandlerContext context = mContext;
        if (context == null || !context.channel().isActive() || !context.channel().isWritable()) {
            return false;
        }
        context.writeAndFlush(Unpooled.wrappedBuffer(frame));
        return true;
    }

    /**
     * Returns the remote address.
     *
     * @return the address, null if the connection is not open
     */
    SocketAddress remoteAddress() {
        final ChannelHandlerContext context = mContext;
        return context == null ? null : context.channel().remoteAddress();
    }

    /** Closes the connection. */
    void close() {
        final ChannelHandlerContext context = mContext;
        if (context != null) {
            context.close();
        }
    }

    @Override
    public void channelActive(final ChannelHandlerContext context) {
        mContext = context;
        send(mHandshake.hello());
    }

    @Override
    public void channelInactive(final ChannelHandlerContext context) {
        mTransport.onClosed(this);
    }

    @Override
    protected void channelRead0(final ChannelHandlerContext context, final ByteBuf frame) {
        final byte[] bytes = ByteBufUtil.getBytes(frame);
        mTransport.countReceivedFrame(bytes.length);
        final long beginNanos = System.nanoTime();
        try {
            final Record message = mCodec.decode(bytes);
            handle(message);
            mTransport
                    .traffic()
                    .onReceived(message.getClass(), bytes.length, System.nanoTime() - beginNanos);
        } catch (final PeerException e) {
            LOG.log(
                    Level.WARNING,
                    "peer: Connection to "
                            + context.channel().remoteAddress()
                            + " is closed. "
                            + e.getMessage());
            context.close();
        }
    }

    @Override
    public void userEventTriggered(final ChannelHandlerContext context, final Object event) {
        if (event instanceof IdleStateEvent) {
            context.close();
        }
    }

    @Override
    public void exceptionCaught(final ChannelHandlerContext context, final Throwable cause) {
        LOG.log(
                Level.DEBUG,
                "peer: Connection to "
                        + context.channel().remoteAddress()
                        + " failed. "
                        + cause.getMessage());
        context.close();
    }

    private void handle(final Record message) throws PeerException {
        if (message instanceof Hello hello) {
            send(mHandshake.onHello(hello));
        } else if (message instanceof Proof proof) {
            mPeer = mHandshake.onProof(proof);
            mTransport.onAuthenticated(this);
        } else if (!mHandshake.isAuthenticated()) {
            throw new PeerException(
                    Step.AUTHENTICATE, "peer", "message received before authentication", null);
        } else if (message instanceof UnknownMessage unknown) {
            skip(unknown);
        } else {
            mTransport.onMessage(this, (PeerMessage) message);
        }
    }

    private void skip(final UnknownMessage message) {
        if (!mHasSkipped) {
            mHasSkipped = true;
            LOG.log(
                    Level.WARNING,
                    "peer: Messages of unknown types from slot "
                            + mPeer.slot()
                            + " are skipped, the first has type "
                            + message.type()
                            + ". Its build is newer.");
        }
    }
}
