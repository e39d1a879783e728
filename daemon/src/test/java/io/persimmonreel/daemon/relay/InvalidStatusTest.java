package io.persimmonreel.daemon.relay;

import static io.persimmonreel.daemon.relay.ReplicaScripts.ATTEMPT_HEADER;
import static io.persimmonreel.daemon.relay.ReplicaScripts.respond;
import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against a status that no response can have, which reached callers as a response. */
class InvalidStatusTest {
    private static String response(final String status) {
        return "HTTP/1.1 "
                + status
                + " x\r\nPersimmonreel-Attempt: a1\r\nContent-Length: 2\r\n\r\nno";
    }

    @Nested
    class OnAConnection {
        private final UpstreamChannel mReplica = new UpstreamChannel();

        @ParameterizedTest
        @ValueSource(strings = {"000", "001", "099", "600", "999", "2000"})
        void failsTheExchangeAndClosesTheConnection(final String status) {
            mReplica.send("a1");
            mReplica.receive(response(status));
            assertThat(mReplica.failure()).contains("status");
            assertThat(mReplica.isEnded()).isFalse();
            assertThat(mReplica.connection().isOpen()).isFalse();
            assertThat(mReplica.unrequested())
                    .extracting(UnrequestedResponse::kind)
                    .containsExactly(UnrequestedKind.INVALID_STATUS);
        }

        @ParameterizedTest
        @ValueSource(strings = {"200", "299", "404", "599"})
        void isToldFromTheStatusOfAResponse(final String status) {
            mReplica.send("a1");
            mReplica.receive(response(status));
            assertThat(mReplica.failure()).isNull();
            assertThat(mReplica.isEnded()).isTrue();
        }
    }

    @Nested
    class ToARequest {
        @ParameterizedTest
        @ValueSource(strings = {"000", "999"})
        void thatMustNotRunTwiceBecomesABadGateway(final String status) throws Exception {
            try (RelayFixture relay = new RelayFixture(2)) {
                ReplicaScripts.scriptAll(relay, 2, e -> e.write(response(status)));
                assertThat(relay.request("POST", "/charge/1", ATTEMPT_HEADER, "x"))
                        .startsWith("HTTP/1.1 502");
                assertThat(ReplicaScripts.runCount(relay, 2)).isEqualTo(1);
            }
        }

        @ParameterizedTest
        @ValueSource(strings = {"000", "999"})
        void thatMayRunTwiceIsSentToAnotherReplica(final String status) throws Exception {
            try (RelayFixture relay = new RelayFixture(2)) {
                ReplicaScripts.scriptAll(
                        relay, 2, e -> e.write(response(status)), e -> respond(e, 200, "whole"));
                assertThat(relay.request("GET", "/lookup/1", ATTEMPT_HEADER, ""))
                        .startsWith("HTTP/1.1 200")
                        .endsWith("whole");
            }
        }
    }
}
