package io.persimmonreel.daemon.peer;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.persimmonreel.core.peer.Incarnation;
import io.persimmonreel.core.peer.PeerMessage;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.HexFormat;
import java.util.List;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class PeerTransportTest {
    private static final long MAXIMUM_WAIT_SECONDS = 20;
    private static final InetSocketAddress ANY_PORT = new InetSocketAddress("127.0.0.1", 0);

    /** Collects the events of one transport. */
    private static final class EventCollector implements PeerListener {
        private final BlockingQueue<PeerIdentity> mConnected = new LinkedBlockingQueue<>();
        private final BlockingQueue<PeerMessage> mMessages = new LinkedBlockingQueue<>();
        private final BlockingQueue<PeerIdentity> mDisconnected = new LinkedBlockingQueue<>();

        @Override
        public void onConnected(final PeerIdentity peer) {
            mConnected.add(peer);
        }

        @Override
        public void onMessage(final PeerIdentity from, final PeerMessage message) {
            mMessages.add(message);
        }

        @Override
        public void onDisconnected(final PeerIdentity peer) {
            mDisconnected.add(peer);
        }
    }

    private static List<byte[]> secrets(final String commaSeparated) {
        return Stream.of(commaSeparated.split(",")).map(String::getBytes).toList();
    }

    private static PeerTransport transport(
            final long id, final String secret, final EventCollector events) {
        return new PeerTransport(
                new PeerIdentity(new Incarnation(id), (int) id, "zone"),
                "fleet",
                secrets(secret),
                events,
                LinkPolicy.ALLOW_ALL);
    }

    private static Handshake handshake(final long id, final String secret, final String fleet) {
        return new Handshake(
                secrets(secret), fleet, new PeerIdentity(new Incarnation(id), (int) id, "zone"));
    }

    @Nested
    class Connection {
        @Test
        void deliversMessagesInBothDirections() throws Exception {
            final EventCollector first = new EventCollector();
            final EventCollector second = new EventCollector();
            try (PeerTransport a = transport(1, "secret", first);
                    PeerTransport b = transport(2, "secret", second)) {
                a.connect(Set.of(b.bind(ANY_PORT)));
                assertThat(first.mConnected.poll(MAXIMUM_WAIT_SECONDS, TimeUnit.SECONDS).slot())
                        .isEqualTo(2);
                assertThat(second.mConnected.poll(MAXIMUM_WAIT_SECONDS, TimeUnit.SECONDS).slot())
                        .isEqualTo(1);
                a.send(new Incarnation(2), new PeerMessage.Leaving());
                b.send(new Incarnation(1), new PeerMessage.ConfigRequest(3, "digest"));
                assertThat(second.mMessages.poll(MAXIMUM_WAIT_SECONDS, TimeUnit.SECONDS))
                        .isEqualTo(new PeerMessage.Leaving());
                assertThat(first.mMessages.poll(MAXIMUM_WAIT_SECONDS, TimeUnit.SECONDS))
                        .isEqualTo(new PeerMessage.ConfigRequest(3, "digest"));
            }
        }

        /** Guards against listing a peer as connected after its connection has closed. */
        @Test
        void reportsAClosedConnection() throws Exception {
            final EventCollector first = new EventCollector();
            try (PeerTransport a = transport(1, "secret", first)) {
                final PeerTransport b = transport(2, "secret", new EventCollector());
                a.connect(Set.of(b.bind(ANY_PORT)));
                assertThat(first.mConnected.poll(MAXIMUM_WAIT_SECONDS, TimeUnit.SECONDS))
                        .isNotNull();
                b.close();
                assertThat(first.mDisconnected.poll(MAXIMUM_WAIT_SECONDS, TimeUnit.SECONDS))
                        .isNotNull();
                assertThat(a.connectedPeers()).isEmpty();
            }
        }
    }

    @Nested
    class NewerBuild {
        private static final String UNKNOWN_TYPE = "927f91a178";

        /** Guards against builds that lose contact because one has a message type more. */
        @Test
        void staysConnectedAfterAMessageOfAnUnknownType() throws Exception {
            final EventCollector events = new EventCollector();
            final PeerCodec codec = new PeerCodec();
            try (PeerTransport transport = transport(2, "secret", events)) {
                final InetSocketAddress address = transport.bind(ANY_PORT);
                try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
                    final DataInputStream in = new DataInputStream(socket.getInputStream());
                    final Handshake handshake = handshake(1, "secret", "fleet");
                    write(socket, codec.encode(handshake.hello()));
                    final Hello hello = (Hello) codec.decode(read(in));
                    write(socket, codec.encode(handshake.onHello(hello)));
                    handshake.onProof((Proof) codec.decode(read(in)));
                    write(socket, HexFormat.of().parseHex(UNKNOWN_TYPE));
                    write(socket, codec.encode(new PeerMessage.Leaving()));
                    assertThat(events.mMessages.poll(MAXIMUM_WAIT_SECONDS, TimeUnit.SECONDS))
                            .isEqualTo(new PeerMessage.Leaving());
                    final PeerMessage reply = new PeerMessage.ConfigRequest(3, "digest");
                    transport.send(new Incarnation(1), reply);
                    assertThat(codec.decode(read(in))).isEqualTo(reply);
                }
            }
        }

        /** Guards against a process that sends anything before it is authenticated. */
        @Test
        void isDisconnectedIfItSendsOneBeforeItsProof() throws Exception {
            try (PeerTransport transport = transport(2, "secret", new EventCollector())) {
                final InetSocketAddress address = transport.bind(ANY_PORT);
                try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
                    socket.setSoTimeout((int) TimeUnit.SECONDS.toMillis(MAXIMUM_WAIT_SECONDS));
                    final DataInputStream in = new DataInputStream(socket.getInputStream());
                    read(in);
                    write(socket, HexFormat.of().parseHex(UNKNOWN_TYPE));
                    assertThat(in.read()).isNegative();
                }
            }
        }

        private void write(final Socket socket, final byte[] frame) throws IOException {
            final DataOutputStream out = new DataOutputStream(socket.getOutputStream());
            out.writeInt(frame.length);
            out.write(frame);
            out.flush();
        }

        private byte[] read(final DataInputStream in) throws IOException {
            return in.readNBytes(in.readInt());
        }
    }

    @Nested
    class Authentication {
        /** Guards against a process that joins the fleet without the fleet secret. */
        @Test
        void rejectsAnotherSecret() throws Exception {
            final Handshake local = handshake(1, "secret", "fleet");
            final Handshake remote = handshake(2, "guess", "fleet");
            local.onHello(remote.hello());
            final Proof proof = remote.onHello(local.hello());
            assertThatThrownBy(() -> local.onProof(proof))
                    .isInstanceOf(PeerException.class)
                    .hasMessageContaining("proof is invalid");
            assertThat(local.isAuthenticated()).isFalse();
        }

        /** Guards against splitting the fleet while the secret is changed. */
        @Test
        void acceptsOldAndNewSecretDuringAChange() throws Exception {
            for (final String secrets : List.of("old,new", "new,old")) {
                final Handshake local = handshake(1, "old,new", "fleet");
                final Handshake remote = handshake(2, secrets, "fleet");
                local.onProof(proof(remote, local));
                assertThat(local.isAuthenticated()).isTrue();
            }
            final Handshake changed = handshake(1, "new", "fleet");
            final Proof old = proof(handshake(2, "old", "fleet"), changed);
            assertThatThrownBy(() -> changed.onProof(old)).isInstanceOf(PeerException.class);
        }

        private Proof proof(final Handshake sender, final Handshake receiver) throws PeerException {
            receiver.onHello(sender.hello());
            return sender.onHello(receiver.hello());
        }

        /** Guards against accepting a proof that is sent back to the daemon that made it. */
        @Test
        void rejectsAReflectedProof() throws Exception {
            final Handshake local = handshake(1, "secret", "fleet");
            final Handshake remote = handshake(2, "secret", "fleet");
            final Proof own = local.onHello(remote.hello());
            assertThatThrownBy(() -> local.onProof(own)).isInstanceOf(PeerException.class);
        }
    }
}
