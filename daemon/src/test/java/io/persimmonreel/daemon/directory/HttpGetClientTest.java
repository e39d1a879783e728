package io.persimmonreel.daemon.directory;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.HttpHeaders;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class HttpGetClientTest {
    private static final String DONE = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone";
    private static final String FAILED = "HTTP/1.1 503 x\r\nContent-Length: 6\r\n\r\nfailed";
    private static final int TIMEOUT_MILLIS = 5_000;

    private final NioEventLoopGroup mGroup = new NioEventLoopGroup(1);
    private final BlockingQueue<String> mResults = new ArrayBlockingQueue<>(10);
    private ServerSocket mServer;
    private HttpGetClient mClient;

    @BeforeEach
    void listen() throws IOException {
        mServer = new ServerSocket(0, 10, InetAddress.getLoopbackAddress());
        mServer.setSoTimeout(TIMEOUT_MILLIS);
        mClient =
                new HttpGetClient(
                        mGroup.next(),
                        new InetSocketAddress(mServer.getInetAddress(), mServer.getLocalPort()),
                        1_000);
    }

    @AfterEach
    void close() throws IOException {
        mServer.close();
        mGroup.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
    }

    private void get() {
        mGroup.next().execute(() -> mClient.get("/key", TIMEOUT_MILLIS, new Recorder()));
    }

    private Socket accept() throws IOException {
        final Socket socket = mServer.accept();
        socket.setSoTimeout(TIMEOUT_MILLIS);
        return socket;
    }

    private static void answer(final Socket socket, final String text) throws IOException {
        final byte[] head = new byte[1_000];
        assertThat(socket.getInputStream().read(head)).isPositive();
        write(socket, text);
    }

    private static void write(final Socket socket, final String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }

    private String result() throws InterruptedException {
        return mResults.poll(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    @Nested
    class BytesBetweenCalls {
        private void assertNotJoinedWithTheNextResponse(final String bytes) throws Exception {
            get();
            final Socket first = accept();
            answer(first, DONE);
            assertThat(result()).isEqualTo("200 done");
            write(first, bytes);
            assertThat(first.getInputStream().read()).as("end of the connection").isEqualTo(-1);
            get();
            answer(accept(), FAILED);
            assertThat(result()).isEqualTo("503 failed");
        }

        @Test
        void doNotMakeASuccessOfTheNextFailure() throws Exception {
            assertNotJoinedWithTheNextResponse("HTTP/1.1 200 O");
        }

        @Test
        void areNotTakenForTheNextResponse() throws Exception {
            assertNotJoinedWithTheNextResponse(DONE);
        }
    }

    /** Records the result of each call as text. */
    private final class Recorder implements HttpGetClient.Callback {
        @Override
        public void onResponse(final int status, final HttpHeaders headers, final byte[] body) {
            mResults.add(status + " " + new String(body, StandardCharsets.US_ASCII));
        }

        @Override
        public void onUnusable(final String reason) {
            mResults.add("unusable: " + reason);
        }

        @Override
        public void onFailure(final String reason) {
            mResults.add("failure: " + reason);
        }
    }
}
