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
import io.netty.handler.flush.FlushConsolidationHandler;
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
 * Maintains authenticated TCP connections to other daemons and sends messages over them.
 *
 * <p>Messages may be lost when a connection breaks or its buffer is full; senders must repeat those
 * that have to arrive. Instances are thread safe.
 */
public final class PeerTransport implements PeerSender, AutoCloseable {
    private static final Logger LOG = System.getLogger(PeerTransport.class.getName());
    private static final int LENGTH_PREFIX_BYTES = 4;
    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
    private static final int MAXIMUM_JOINED_FLUSHES = 64;

    /** Heartbeats arrive every 500 ms; a connection without data for this long is closed. */
    private static final Duration READ_IDLE_TIMEOUT = Duration.ofSeconds(10);

    private static final int IO_THREADS = 2;

    private final PeerIdentity mSelf;
    private final String mFleet;
    private final List<byte[]> mSecrets;
    private final PeerListener mListener;
    private final LinkPolicy mPolicy;
    private final PeerCodec mCodec = new PeerCodec();
    private final EventLoopGroup mEventLoopGroup;
    private final boolean mOwnsEventLoopGroup;
    private final Duration mReadIdleTimeout;
    private final Map<Incarnation, PeerConnection> mConnections = new ConcurrentHashMap<>();
    private final Map<InetSocketAddress, Channel> mOutgoingChannels = new ConcurrentHashMap<>();
    private final Map<InetSocketAddress, Incarnation> mPeersByAddress = new ConcurrentHashMap<>();
    private final LongAdder mReceivedBytes = new LongAdder();
    private final LongAdder mDroppedMessages = new LongAdder();
    private volatile PeerTraffic mTraffic = PeerTraffic.NONE;
    private volatile Channel mServer;
    private volatile PeerTls mTls;

    /**
     * Creates a transport with its own threads.
     *
     * @param self the identity of this daemon
     * @param fleet the fleet's name
     * @param secrets the fleet secrets; proofs are made with the first and accepted with any
     * @param listener receives the events of the transport
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
                READ_IDLE_TIMEOUT);
    }

    /**
     * Creates a transport that runs on an existing event loop group and allows all links.
     *
     * @param self the identity of this daemon
     * @param fleet the fleet's name
     * @param secrets the fleet secrets; proofs are made with the first and accepted with any
     * @param listener receives the events of the transport
     * @param group the event loop group, which is not shut down with the transport
     * @param readIdleTimeout the time without received data after which a connection is closed
     */
    public PeerTransport(
            final PeerIdentity self,
            final String fleet,
            final List<byte[]> secrets,
            final PeerListener listener,
            final EventLoopGroup group,
            final Duration readIdleTimeout) {
        this(self, fleet, secrets, listener, LinkPolicy.ALLOW_ALL, group, false, readIdleTimeout);
    }

    private PeerTransport(
            final PeerIdentity self,
            final String fleet,
            final List<byte[]> secrets,
            final PeerListener listener,
            final LinkPolicy policy,
            final EventLoopGroup group,
            final boolean ownsEventLoopGroup,
            final Duration readIdleTimeout) {
        mEventLoopGroup = group;
        mOwnsEventLoopGroup = ownsEventLoopGroup;
        mReadIdleTimeout = readIdleTimeout;
        mSelf = Objects.requireNonNull(self, "self");
        mFleet = Objects.requireNonNull(fleet, "fleet");
        mSecrets = List.copyOf(secrets);
        mListener = Objects.requireNonNull(listener, "listener");
        mPolicy = Objects.requireNonNull(policy, "policy");
    }

    /**
     * Sets what observes the messages to and from peers.
     *
     * @param traffic the observer
     */
    public void observe(final PeerTraffic traffic) {
        mTraffic = Objects.requireNonNull(traffic, "traffic");
    }

    /**
     * Enables TLS for all connections opened from now on.
     *
     * @param tls provides the TLS handlers
     */
    public void enableTls(final PeerTls tls) {
        mTls = tls;
    }

    /**
     * Starts accepting connections.
     *
     * @param address the local address; port 0 picks a free port
     * @return the bound address
     * @throws PeerException if the address can't be bound
     */
    public InetSocketAddress bind(final InetSocketAddress address) throws PeerException {
        final ServerBootstrap bootstrap =
                new ServerBootstrap()
                        .group(mEventLoopGroup)
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
     * Opens connections to those of the given addresses that have none open or being opened.
     *
     * @param addresses the addresses of other daemons
     */
    public void connect(final Set<InetSocketAddress> addresses) {
        for (final InetSocketAddress address : addresses) {
            final Channel channel = mOutgoingChannels.get(address);
            if ((channel == null || !channel.isOpen()) && !hasConnectedPeer(address)) {
                openConnection(address);
            }
        }
    }

    /**
     * Tells whether the peer last reached at an address is connected. The peer may have opened that
     * connection itself and then needs no second one.
     */
    private boolean hasConnectedPeer(final InetSocketAddress address) {
        final Incarnation peer = mPeersByAddress.get(address);
        return peer != null && mConnections.containsKey(peer);
    }

    @Override
    public void send(final Incarnation to, final PeerMessage message) {
        deliver(to, connection -> connection.send((Record) message));
    }

    private void deliver(final Incarnation to, final Predicate<PeerConnection> sender) {
        final PeerConnection connection = mConnections.get(to);
        if (connection == null
                || !mPolicy.isAllowed(connection.peer().slot())
                || !sender.test(connection)) {
            mDroppedMessages.increment();
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
     * Sends a message to several peers, encoding it only once.
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
            LOG.log(Level.ERROR, "peer: Failed to encode a message. " + e.getMessage());
            return;
        }
        mTraffic.onSent(message.getClass(), frame.length, peers.size());
        peers.forEach(peer -> deliver(peer, connection -> connection.sendFrame(frame)));
    }

    /**
     * Returns the connected and authenticated peers.
     *
     * @return their incarnations
     */
    public Set<Incarnation> connectedPeers() {
        return Set.copyOf(mConnections.keySet());
    }

    /**
     * Returns how many bytes were received in frames, including their length prefixes.
     *
     * @return the number of bytes since the start
     */
    public long receivedBytes() {
        return mReceivedBytes.sum();
    }

    /**
     * Returns how many messages were dropped instead of being sent.
     *
     * @return the number of messages since the start
     */
    public long droppedMessages() {
        return mDroppedMessages.sum();
    }

    @Override
    public void close() {
        final Channel server = mServer;
        if (server != null) {
            server.close();
        }
        mConnections.values().forEach(PeerConnection::close);
        if (mOwnsEventLoopGroup) {
            mEventLoopGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        }
    }

    void onAuthenticated(final PeerConnection connection) {
        final PeerIdentity peer = connection.peer();
        if (connection.remoteAddress() instanceof InetSocketAddress remote
                && mOutgoingChannels.containsKey(remote)) {
            mPeersByAddress.put(remote, peer.incarnation());
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

    void countReceivedFrame(final int bytes) {
        mReceivedBytes.add(bytes + LENGTH_PREFIX_BYTES);
    }

    PeerTraffic traffic() {
        return mTraffic;
    }

    private void openConnection(final InetSocketAddress address) {
        final Bootstrap bootstrap =
                new Bootstrap()
                        .group(mEventLoopGroup)
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                        .option(ChannelOption.TCP_NODELAY, true)
                        .handler(initializer(true));
        mOutgoingChannels.put(address, bootstrap.connect(address).channel());
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
                // Messages to a peer in the same event share a system call and a packet.
                pipeline.addLast(new FlushConsolidationHandler(MAXIMUM_JOINED_FLUSHES, true));
                pipeline.addLast(
                        new IdleStateHandler(
                                mReadIdleTimeout.toMillis(), 0, 0, TimeUnit.MILLISECONDS));
                pipeline.addLast(
                        new LengthFieldBasedFrameDecoder(
                                PeerCodec.MAXIMUM_FRAME_BYTES + LENGTH_PREFIX_BYTES,
                                0,
                                LENGTH_PREFIX_BYTES,
                                0,
                                LENGTH_PREFIX_BYTES));
                pipeline.addLast(new LengthFieldPrepender(LENGTH_PREFIX_BYTES));
                pipeline.addLast(
                        new PeerConnection(
                                PeerTransport.this,
                                mCodec,
                                new Handshake(mSecrets, mFleet, mSelf)));
            }
        };
    }
}
