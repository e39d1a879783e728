package io.persimmonreel.daemon.peer;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.persimmonreel.core.peer.Incarnation;
import io.persimmonreel.core.peer.PeerMessage;
import io.persimmonreel.core.time.TimerService;
import io.persimmonreel.daemon.time.ScheduledTimerService;
import io.persimmonreel.daemon.time.SystemTimeSource;
import io.persimmonreel.daemon.tls.PeerTls;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class PeerTlsTest {
    private static final InetSocketAddress ANY_PORT = new InetSocketAddress("127.0.0.1", 0);
    private static final long MAXIMUM_WAIT_NANOS = TimeUnit.SECONDS.toNanos(30);

    @TempDir private Path mDirectory;
    private final ScheduledTimerService mTimers =
            new ScheduledTimerService(new SystemTimeSource(), 1);
    private final List<PeerTransport> mTransports = new ArrayList<>();

    @AfterEach
    void close() {
        mTransports.forEach(PeerTransport::close);
        mTimers.close();
    }

    /** Installs the certificate and key of a daemon and the authorities that it accepts. */
    private void install(final long id, final String name, final String... authorities)
            throws IOException {
        copy(id + ".pem", "test-daemon-" + name + ".pem");
        copy(id + "-key.pem", "test-daemon-" + name + "-key.pem");
        final String[] resources = new String[authorities.length];
        for (int i = 0; i < resources.length; i++) {
            resources[i] = "test-authority-" + authorities[i] + ".pem";
        }
        copy(id + "-authority.pem", resources);
    }

    private void copy(final String to, final String... resources) throws IOException {
        final ByteArrayOutputStream content = new ByteArrayOutputStream();
        for (final String resource : resources) {
            try (InputStream in = PeerTlsTest.class.getResourceAsStream("/peer-tls/" + resource)) {
                in.transferTo(content);
            }
        }
        Files.write(mDirectory.resolve(to), content.toByteArray());
    }

    private PeerTls tls(final long id, final TimerService timers) throws IOException {
        return new PeerTls(
                mDirectory.resolve(id + ".pem"),
                mDirectory.resolve(id + "-key.pem"),
                mDirectory.resolve(id + "-authority.pem"),
                timers);
    }

    private PeerTransport tlsTransport(final long id) throws IOException {
        final PeerTransport transport = plainTransport(id);
        transport.enableTls(tls(id, mTimers));
        return transport;
    }

    private PeerTransport plainTransport(final long id) {
        final PeerTransport transport =
                new PeerTransport(
                        new PeerIdentity(new Incarnation(id), (int) id, "zone"),
                        "fleet",
                        List.of("secret".getBytes(StandardCharsets.UTF_8)),
                        new IgnoringListener(),
                        LinkPolicy.ALLOW_ALL);
        mTransports.add(transport);
        return transport;
    }

    /** Ignores all events. */
    private static final class IgnoringListener implements PeerListener {
        @Override
        public void onConnected(final PeerIdentity peer) {
            // The tests read the transport's connections.
        }

        @Override
        public void onMessage(final PeerIdentity from, final PeerMessage message) {
            // No messages are sent.
        }

        @Override
        public void onDisconnected(final PeerIdentity peer) {
            // The tests read the transport's connections.
        }
    }

    private static boolean connects(
            final PeerTransport from, final InetSocketAddress to, final long waitNanos)
            throws InterruptedException {
        final long end = System.nanoTime() + waitNanos;
        while (from.connectedPeers().isEmpty() && System.nanoTime() - end < 0) {
            from.connect(Set.of(to));
            TimeUnit.MILLISECONDS.sleep(50);
        }
        return !from.connectedPeers().isEmpty();
    }

    @Nested
    class Authorities {
        /** Guards against splitting the fleet while the certificate authority is changed. */
        @Test
        void allowTwoAuthoritiesDuringAChange() throws Exception {
            install(1, "a", "a", "b");
            install(2, "b", "a", "b");
            assertThat(
                            connects(
                                    tlsTransport(1),
                                    tlsTransport(2).bind(ANY_PORT),
                                    MAXIMUM_WAIT_NANOS))
                    .isTrue();
        }

        /** Guards against a process that joins the fleet with another certificate or with none. */
        @Test
        void rejectPeersWithoutAnAcceptedCertificate() throws Exception {
            install(1, "a", "a", "b");
            install(2, "b", "b");
            final PeerTransport second = tlsTransport(2);
            final InetSocketAddress address = second.bind(ANY_PORT);
            final long wait = TimeUnit.SECONDS.toNanos(2);
            assertThat(connects(tlsTransport(1), address, wait)).isFalse();
            assertThat(connects(plainTransport(3), address, wait)).isFalse();
            assertThat(second.connectedPeers()).isEmpty();
        }
    }

    @Nested
    class Reload {
        /**
         * Guards against needing a restart, which resets the uptime for which a daemon can grant
         * claims.
         */
        @Test
        void usesChangedFilesForNewConnections() throws Exception {
            install(1, "a", "a");
            install(2, "b", "a", "b");
            final PeerTransport first = tlsTransport(1);
            final InetSocketAddress address = tlsTransport(2).bind(ANY_PORT);
            assertThat(connects(first, address, TimeUnit.SECONDS.toNanos(2))).isFalse();
            install(1, "b", "a", "b");
            assertThat(connects(first, address, MAXIMUM_WAIT_NANOS)).isTrue();
        }
    }

    @Nested
    class Start {
        @Test
        void rejectsAnotherKeyAndAMissingAuthority() throws Exception {
            install(1, "a", "a");
            copy("1-key.pem", "test-daemon-b-key.pem");
            assertThatThrownBy(() -> tls(1, mTimers)).isInstanceOf(IOException.class);
            install(1, "a");
            assertThatThrownBy(() -> tls(1, mTimers)).isInstanceOf(IOException.class);
        }
    }
}
