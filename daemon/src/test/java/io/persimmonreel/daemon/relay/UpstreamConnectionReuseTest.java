package io.persimmonreel.daemon.relay;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpMethod;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Covers what a connection to a replica keeps from one exchange to the next. */
class UpstreamConnectionReuseTest {
    private static final int REMEMBERED_ATTEMPTS = 16;

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

    @Nested
    class ForAnAttemptThatReturns {
        /** Guards against a late second response that is taken for the response to the attempt. */
        @ParameterizedTest
        @ValueSource(
                strings = {
                    "200 OK",
                    "404 Not Found",
                    "500 Internal Server Error",
                    "504 Gateway Timeout",
                    "503 Service Unavailable\r\nPersimmonreel-Not-Run: 1",
                    "421 Misdirected Request"
                })
        void aConnectionThatCarriedItIsNotUsed(final String status) {
            try (UpstreamConnectionHarness harness = new UpstreamConnectionHarness()) {
                harness.send("a1");
                harness.read(response(status, "a1", "first"));
                assertThat(harness.isPooled()).isTrue();
                assertThat(harness.isHandedOutFor("a1")).isFalse();
            }
        }

        @Test
        void aConnectionThatCarriedItBeforeOtherAttemptsIsNotUsed() {
            try (UpstreamConnectionHarness harness = new UpstreamConnectionHarness()) {
                for (int i = 0; i < REMEMBERED_ATTEMPTS; i++) {
                    exchange(harness, "a" + i);
                }
                assertThat(harness.isHandedOutFor("a0")).isFalse();
            }
        }

        @Test
        void theOldestAttemptIsForgottenFirst() {
            try (UpstreamConnectionHarness harness = new UpstreamConnectionHarness()) {
                for (int i = 0; i <= REMEMBERED_ATTEMPTS; i++) {
                    exchange(harness, "a" + i);
                }
                assertThat(harness.isHandedOutFor("a0")).isTrue();
            }
        }

        @Test
        void aConnectionThatCarriedOtherAttemptsIsUsed() {
            try (UpstreamConnectionHarness harness = new UpstreamConnectionHarness()) {
                exchange(harness, "a1");
                exchange(harness, "a2");
                assertThat(harness.isHandedOutFor("a3")).isTrue();
            }
        }

        private static void exchange(
                final UpstreamConnectionHarness harness, final String attemptId) {
            final RecordingListener listener = harness.send(attemptId);
            harness.read(response("200 OK", attemptId, "body"));
            assertThat(listener.progress()).isEqualTo(RecordingListener.Progress.COMPLETE);
        }
    }
}
