package io.persimmonreel.daemon.relay;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpMethod;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Covers what a connection to a replica keeps from one exchange to the next. */
class UpstreamConnectionReuseTest {
    private static String response(final String status, final String attemptId, final String body) {
        return "HTTP/1.1 "
                + status
                + "\r\nPersimmonreel-Attempt: "
                + attemptId
                + "\r\n"
                + UpstreamConnectionHarness.SIGNATURE
                + "Content-Length: "
                + body.length()
                + "\r\n\r\n"
                + body;
    }

    @Nested
    class AfterReadingWasPaused {
        /** Pauses reading at the first bytes of the body, as a slow caller does. */
        private static final class PausingListener extends RecordingListener {
            private final UpstreamConnection mConnection;

            PausingListener(final UpstreamConnection connection) {
                mConnection = connection;
            }

            @Override
            public void onBody(final ByteBuf bytes) {
                super.onBody(bytes);
                mConnection.setReading(false);
            }
        }

        /** Guards against a next request that gets no response since nothing is read. */
        @Test
        void theNextRequestGetsItsResponse() {
            try (UpstreamConnectionHarness harness = new UpstreamConnectionHarness()) {
                final RecordingListener slow =
                        harness.send(
                                "a1", HttpMethod.POST, new PausingListener(harness.connection()));
                harness.read(response("200 OK", "a1", "first"));
                assertThat(slow.progress()).isEqualTo(RecordingListener.Progress.COMPLETE);
                assertThat(harness.isHandedOutFor("a2")).isTrue();
                final RecordingListener next = harness.send("a2");
                harness.read(response("200 OK", "a2", "second"));
                assertThat(next.body()).isEqualTo("second");
                assertThat(next.progress()).isEqualTo(RecordingListener.Progress.COMPLETE);
            }
        }

        /** Guards against a closed connection that counts as idle since its end is not read. */
        @Test
        void bytesOnTheIdleConnectionCloseIt() {
            try (UpstreamConnectionHarness harness = new UpstreamConnectionHarness()) {
                harness.send("a1", HttpMethod.POST, new PausingListener(harness.connection()));
                harness.read(response("200 OK", "a1", "first"));
                harness.read(response("200 OK", "a1", "again"));
                assertThat(harness.isPooled()).isFalse();
                assertThat(harness.isOpen()).isFalse();
            }
        }
    }
}
