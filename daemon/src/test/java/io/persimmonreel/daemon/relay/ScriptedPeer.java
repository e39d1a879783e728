package io.persimmonreel.daemon.relay;

import io.netty.channel.nio.NioEventLoopGroup;
import io.persimmonreel.core.peer.Incarnation;
import io.persimmonreel.core.peer.PeerMessage;
import io.persimmonreel.daemon.peer.PeerIdentity;
import io.persimmonreel.daemon.peer.PeerListener;
import io.persimmonreel.daemon.peer.PeerTransport;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;

/** Connects to a relay as another daemon of its fleet and records what the relay sends. */
final class ScriptedPeer implements PeerListener, AutoCloseable {
    private static final Duration READ_IDLE_TIMEOUT = Duration.ofSeconds(10);

    private final NioEventLoopGroup mGroup = new NioEventLoopGroup(1);
    private final List<PeerMessage> mMessages = new CopyOnWriteArrayList<>();
    private final PeerTransport mTransport;
    private volatile Incarnation mRelay;
    private volatile Consumer<PeerMessage> mResponder = message -> {};

    /** Connects, and waits until the relay has sent its first message. */
    ScriptedPeer(final RelayFixture relay, final long incarnation) throws InterruptedException {
        mTransport =
                new PeerTransport(
                        new PeerIdentity(new Incarnation(incarnation), 1, "zone"),
                        RelayDaemon.FLEET_NAME,
                        List.of(RelayFixture.SECRET.getBytes(StandardCharsets.UTF_8)),
                        this,
                        mGroup,
                        READ_IDLE_TIMEOUT);
        mTransport.connect(Set.of(relay.peerAddress()));
        RelayFixture.await(() -> !mMessages.isEmpty());
    }

    void send(final PeerMessage message) {
        mTransport.send(mRelay, message);
    }

    /** Sets what is called with each message as soon as it is received. */
    void respondWith(final Consumer<PeerMessage> responder) {
        mResponder = responder;
    }

    /** Returns the received messages of a type. */
    <T> List<T> received(final Class<T> type) {
        return mMessages.stream().filter(type::isInstance).map(type::cast).toList();
    }

    @Override
    public void onConnected(final PeerIdentity peer) {
        mRelay = peer.incarnation();
    }

    @Override
    public void onMessage(final PeerIdentity from, final PeerMessage message) {
        mMessages.add(message);
        mResponder.accept(message);
    }

    @Override
    public void onDisconnected(final PeerIdentity peer) {}

    @Override
    public void close() {
        mTransport.close();
        mGroup.shutdownGracefully();
    }
}
