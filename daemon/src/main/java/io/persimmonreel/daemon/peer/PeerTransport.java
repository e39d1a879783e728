package io.persimmonreel.daemon.peer;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.timeout.IdleStateHandler;
import io.persimmonreel.core.peer.Incarnation;
import io.persimmonreel.core.peer.PeerMessage;
import io.persimmonreel.core.peer.PeerSender;
import io.persimmonreel.core.request.Step;
import io.persimmonreel.daemon.tls.PeerTls;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.Predicate;

/**
 * Keeps authenticated TCP connections to other daemons.
 *
 * <p>Messages may be lost when a connection breaks or its buffer is full; senders of messages that
 * matter repeat them. Instances are thread safe.
 */
public final class PeerTransport implements PeerSender, AutoCloseable {
    private static final Logger LOG = System.getLogger(PeerTransport.class.getName());
    private static final int LENGTH_BYTES = 4;
    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;

    /** Heartbeats come every 500 ms; a connection without any frame for this long is dead. */
    private static final Duration READ_IDLE = Duration.ofSeconds(10);

    private static final int IO_THREADS = 2;

    private final PeerIdentity mSelf;
    private final String mFleet;
    private final List<byte[]> mSecrets;
    private final PeerListener mListener;
    private final LinkPolicy mPolicy;
    private final PeerCodec mCodec = new PeerCodec();
    private final EventLoopGroup mGroup;
    private final boolean mOwnsGroup;
    private final Duration mReadIdle;
    private final Map<Incarnation, PeerConnection> mConnections = new ConcurrentHashMap<>();
    private final Map<InetSocketAddress, Channel> mDialled = new ConcurrentHashMap<>();
    private final Map<InetSocketAddress, Incarnation> mReached = new ConcurrentHashMap<>();
    private final LongAdder mReceivedBytes = new LongAdder();
    private final LongAdder mDropped = new LongAdder();
    private volatile Channel mServer;
    private volatile PeerTls mTls;

    /**
     * Creates a transport.
     *
     * @param self this daemon
     * @param fleet the fleet's name
     * @param secrets the fleet secrets, of which the first is proved and any is accepted
     * @param listener receives events
     * @param policy decides which links may be used
     */
    public PeerTransport(
            final PeerIdentity self,
            final String fleet,
            final List<byte[]> secrets,
            final PeerListener listener,
            final LinkPolicy policy) {
        this(
                self,
                fleet,
                secrets,
                listener,
                policy,
                new NioEventLoopGroup(IO_THREADS),
                true,
                READ_IDLE);
    }

    /**
     * Creates a transport that shares the threads of another part.
     *
     * @param self this daemon
     * @param fleet the fleet's name
     * @param secrets the fleet secrets, of which the first is proved and any is accepted
     * @param listener receives events
     * @param group the threads, which are not stopped with the transport
     * @param readIdle the time without any frame after which a connection is closed
     */
    public PeerTransport(
            final PeerIdentity self,
            final String fleet,
            final List<byte[]> secrets,
            final PeerListener listener,
            final EventLoopGroup group,
            final Duration readIdle) {
        this(self, fleet, secrets, listener, LinkPolicy.ALLOW_ALL, group, false, readIdle);
    }

    private PeerTransport(
            final PeerIdentity self,
            final String fleet,
            final List<byte[]> secrets,
            final PeerListener listener,
            final LinkPolicy policy,
            final EventLoopGroup group,
            final boolean ownsGroup,
            final Duration readIdle) {
        mGroup = group;
        mOwnsGroup = ownsGroup;
        mReadIdle = readIdle;
        mSelf = Objects.requireNonNull(self, "self");
        mFleet = Objects.requireNonNull(fleet, "fleet");
        mSecrets = List.copyOf(secrets);
        mListener = Objects.requireNonNull(listener, "listener");
        mPolicy = Objects.requireNonNull(policy, "policy");
    }

    /**
     * Secures all later connections.
     *
     * @param tls the certificates
     */
    public void secure(final PeerTls tls) {
        mTls = tls;
    }

    /**
     * Starts to accept connections.
     *
     * @param address the local address; port 0 picks a free port
     * @return the bound address
     * @throws PeerException if the address can't be bound
     */
    public InetSocketAddress bind(final InetSocketAddress address) throws PeerException {
        final ServerBootstrap bootstrap =
                new ServerBootstrap()
                        .group(mGroup)
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .childHandler(initializer(false));
        try {
            mServer = bootstrap.bind(address).syncUninterruptibly().channel();
            return (InetSocketAddress) mServer.localAddress();
        } catch (final Exception e) {
            throw new PeerException(
                    Step.CONNECT, String.valueOf(address), "address can't be bound", e);
        }
    }

    /**
     * Connects to the given addresses unless a connection to them is open or being opened.
     *
     * @param addresses the addresses of other daemons
     */
    public void connect(final Set<InetSocketAddress> addresses) {
        for (final InetSocketAddress address : addresses) {
            final Channel open = mDialled.get(address);
            if ((open == null || !open.isOpen()) && !isReached(address)) {
                dial(address);
            }
        }
    }

    /** A peer that opened a connection itself needs no second one. */
    private boolean isReached(final InetSocketAddress address) {
        final Incarnation peer = mReached.get(address);
        return peer != null && mConnections.containsKey(peer);
    }

    @Override
    public void send(final Incarnation to, final PeerMessage message) {
        deliver(to, connection -> connection.send((Record) message));
    }

    private void deliver(final Incarnation to, final Predicate<PeerConnection> sending) {
        final PeerConnection connection = mConnections.get(to);
        if (connection == null
                || !mPolicy.isAllowed(connection.peer().slot())
                || !sending.test(connection)) {
            mDropped.increment();
        }
    }

    /**
     * Closes the connection to a peer.
     *
     * @param peer the peer
     */
    public void disconnect(final Incarnation peer) {
        final PeerConnection connection = mConnections.get(peer);
        if (connection != null) {
            connection.close();
        }
    }

    /**
     * Sends a message to several peers; it is encoded once.
     *
     * @param peers the peers
     * @param message the message
     */
    public void sendAll(final Collection<Incarnation> peers, final PeerMessage message) {
        if (peers.isEmpty()) {
            return;
        }
        final byte[] frame;
        try {
            frame = mCodec.encode((Record) message);
        } catch (final PeerException e) {
            LOG.log(Level.ERROR, "peer: Message was not sent. " + e.getMessage());
            return;
        }
        peers.forEach(peer -> deliver(peer, connection -> connection.sendFrame(frame)));
    }

    /**
     * Returns the peers with an authenticated connection.
     *
     * @return the incarnations
     */
    public Set<Incarnation> connected() {
        return Set.copyOf(mConnections.keySet());
    }

    /**
     * Returns how many bytes of frames were received.
     *
     * @return bytes since the start
     */
    public long receivedBytes() {
        return mReceivedBytes.sum();
    }

    /**
     * Returns how many messages were dropped before they were sent.
     *
     * @return messages since the start
     */
    public long droppedMessages() {
        return mDropped.sum();
    }

    @Override
    public void close() {
        final Channel server = mServer;
        if (server != null) {
            server.close();
        }
        mConnections.values().forEach(PeerConnection::close);
        if (mOwnsGroup) {
            mGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        }
    }

    void onAuthenticated(final PeerConnection connection) {
        final PeerIdentity peer = connection.peer();
        if (connection.remoteAddress() instanceof InetSocketAddress remote
                && mDialled.containsKey(remote)) {
            mReached.put(remote, peer.incarnation());
        }
        final PeerConnection previous = mConnections.put(peer.incarnation(), connection);
        if (previous == null) {
            LOG.log(Level.INFO, "peer: Connected to slot " + peer.slot() + ".");
            mListener.onConnected(peer);
        }
    }

    void onMessage(final PeerConnection connection, final PeerMessage message) {
        if (mPolicy.isAllowed(connection.peer().slot())) {
            mListener.onMessage(connection.peer(), message);
        }
    }

    void onClosed(final PeerConnection connection) {
        final PeerIdentity peer = connection.peer();
        if (peer != null && mConnections.remove(peer.incarnation(), connection)) {
            LOG.log(Level.INFO, "peer: Connection to slot " + peer.slot() + " ended.");
            mListener.onDisconnected(peer);
        }
    }

    void countReceived(final int bytes) {
        mReceivedBytes.add(bytes + LENGTH_BYTES);
    }

    private void dial(final InetSocketAddress address) {
        final Bootstrap bootstrap =
                new Bootstrap()
                        .group(mGroup)
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                        .option(ChannelOption.TCP_NODELAY, true)
                        .handler(initializer(true));
        mDialled.put(address, bootstrap.connect(address).channel());
    }

    private ChannelInitializer<SocketChannel> initializer(final boolean client) {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(final SocketChannel channel) {
                channel.config().setTcpNoDelay(true);
                final ChannelPipeline pipeline = channel.pipeline();
                final PeerTls tls = mTls;
                if (tls != null) {
                    pipeline.addLast(tls.handler(client, channel.alloc()));
                }
                pipeline.addLast(
                        new IdleStateHandler(mReadIdle.toMillis(), 0, 0, TimeUnit.MILLISECONDS));
                pipeline.addLast(
                        new LengthFieldBasedFrameDecoder(
                                PeerCodec.MAXIMUM_FRAME_BYTES + LENGTH_BYTES,
                                0,
                                LENGTH_BYTES,
                                0,
                                LENGTH_BYTES));
                pipeline.addLast(new LengthFieldPrepender(LENGTH_BYTES));
                pipeline.addLast(
                        new PeerConnection(
                                PeerTransport.this,
                                mCodec,
                                new Handshake(mSecrets, mFleet, mSelf)));
            }
        };
    }
}
