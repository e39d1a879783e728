package io.persimmonreel.daemon.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.persimmonreel.core.customer.CustomerDirectory;
import io.persimmonreel.core.explain.DecisionRing;
import io.persimmonreel.daemon.operator.DaemonMetrics;
import io.persimmonreel.daemon.request.RequestCoordinatorFixture;
import io.persimmonreel.daemon.upstream.ScriptedUpstream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against callers that send single bytes slowly and against bodies that break off. */
class ConnectionGuardTest {
    private static final String HEAD =
            "POST /v1/services/draft/requests HTTP/1.1\r\nAuthorization: Bearer secret-1\r\n";

    /** At one byte in 10 ms, sending takes longer than the idle timeout of 30 s. */
    private static final int SENT_BYTES_LIMIT = 4000;

    private final CustomerDirectory mCustomers =
            new CustomerDirectory(RequestCoordinatorFixture.time());
    private ScriptedUpstream mUpstream;
    private RequestCoordinatorFixture mFixture;
    private CallerServer mServer;

    @BeforeEach
    void start() throws Exception {
        mUpstream = new ScriptedUpstream();
        mFixture = new RequestCoordinatorFixture(mUpstream.replica("r1"));
        mCustomers.onConfiguration(mFixture.configuration);
        mServer =
                new CallerServer(
                        new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                        Optional.empty(),
                        new CallerParts(
                                mFixture.coordinator,
                                () -> Optional.of(mFixture.configuration),
                                List::of,
                                mCustomers,
                                () -> "q1",
                                () -> "pr1.key",
                                new DecisionRing(),
                                new DaemonMetrics(),
                                RequestCoordinatorFixture.time()),
                        Duration.ofMillis(300));
    }

    @AfterEach
    void stop() throws Exception {
        mServer.close();
        mFixture.close();
        mUpstream.close();
    }

    private boolean closesDuringSlowSend(final String start) throws Exception {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), mServer.port())) {
            socket.getOutputStream().write(start.getBytes(StandardCharsets.US_ASCII));
            for (int i = 0; i < SENT_BYTES_LIMIT; i++) {
                Thread.sleep(10);
                socket.getOutputStream().write('x');
            }
        } catch (final IOException e) {
            return true;
        }
        return false;
    }

    @Test
    void slowHeadersCloseTheConnection() throws Exception {
        assertThat(closesDuringSlowSend(HEAD + "X: ")).isTrue();
        assertThat(mFixture.coordinator.inProgress()).isZero();
    }

    @Test
    void slowBodyClosesTheConnection() throws Exception {
        assertThat(closesDuringSlowSend(HEAD + "Content-Length: 1000\r\n\r\n")).isTrue();
        RequestCoordinatorFixture.await(() -> mCustomers.inProgress("c1") == 0);
        assertThat(mFixture.coordinator.inProgress()).isZero();
    }

    /** Guards against a receive timeout that ends a request which was received and is queued. */
    @Test
    void queuedRequestIsNotTimedOut() throws Exception {
        mFixture.scheduler.setOpen(false);
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), mServer.port())) {
            final String body = "{\"prompt\":\"p\"}";
            final String text = HEAD + "Content-Length: " + body.length() + "\r\n\r\n" + body;
            socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
            RequestCoordinatorFixture.await(() -> mFixture.scheduler.waiting().size() == 1);
            Thread.sleep(600);
            assertThat(mFixture.coordinator.inProgress()).isEqualTo(1);
        }
    }

    /** Guards against a body that ends at a malformed chunk and is treated as complete. */
    @Test
    void malformedChunkRunsNothing() throws Exception {
        final String chunks = "f\r\n{\"prompt\":\"pp\"}\r\nzz\r\n";
        final String text = HEAD + "Transfer-Encoding: chunked\r\n\r\n" + chunks;
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), mServer.port())) {
            socket.setSoTimeout(20_000);
            socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
            final int first = socket.getInputStream().read();
            assertThat(mUpstream.requestLines()).isEmpty();
            assertThat(first).isEqualTo(-1);
        }
        RequestCoordinatorFixture.await(() -> mCustomers.inProgress("c1") == 0);
    }
}
