package io.persimmonreel.daemon.relay;

import static io.persimmonreel.daemon.relay.ReplicaScripts.respond;
import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against a body that was cut off and is filled up with the bytes of the next response. */
class JoinedBodyTest {
    private static final int LENGTH = 100;
    private static final String HEAD =
            "HTTP/1.1 200 OK\r\nPersimmonreel-Attempt: a1\r\nContent-Length: "
                    + LENGTH
                    + "\r\n\r\n";
    private static final String NEXT =
            "HTTP/1.1 500 Internal Server Error\r\nPersimmonreel-Attempt: a1\r\n"
                    + "Content-Length: 2\r\n\r\nno";

    private final UpstreamChannel mReplica = new UpstreamChannel();

    private void assertFailed() {
        assertThat(mReplica.failure()).contains("another answer");
        assertThat(mReplica.isEnded()).isFalse();
        assertThat(mReplica.connection().isOpen()).isFalse();
        assertThat(mReplica.unrequested())
                .extracting(UnrequestedResponse::kind)
                .contains(UnrequestedKind.JOINED_BODY);
    }

    @Nested
    class ThatIsCutOff {
        /** The shorter the rest of the body, the more of the next head comes after its end. */
        @ParameterizedTest
        @ValueSource(ints = {0, 20, 40, 60, 80, 93})
        void failsTheExchangeInOneRead(final int sent) {
            mReplica.send("a1");
            mReplica.receive(HEAD + "x".repeat(sent) + NEXT);
            assertFailed();
        }

        @ParameterizedTest
        @ValueSource(ints = {1, 5, 20, 40})
        void failsTheExchangeInTwoReads(final int split) {
            mReplica.send("a1");
            mReplica.receive(HEAD + "x".repeat(LENGTH / 5) + NEXT.substring(0, split));
            mReplica.receive(NEXT.substring(split));
            assertFailed();
        }

        @Test
        void isNoSuccessForACaller() throws Exception {
            try (RelayFixture relay = new RelayFixture(1)) {
                relay.replica(0).addScript(e -> e.write(HEAD + "x".repeat(40) + NEXT));
                assertThat(relay.request("POST", "/charge/1", ReplicaScripts.ATTEMPT_HEADER, "x"))
                        .startsWith("HTTP/1.1 502");
            }
        }
    }

    @Nested
    class ThatIsWhole {
        @Test
        void isNotJoinedWithAResponseAfterIt() {
            mReplica.send("a1");
            mReplica.receive(HEAD + "x".repeat(LENGTH) + NEXT);
            assertThat(mReplica.isEnded()).isTrue();
        }

        /** Guards against text about the protocol that is taken for a response. */
        @Test
        void mayContainAStatusLine() throws Exception {
            final String text =
                    "A replica answers with\r\nHTTP/1.1 500 Internal Server Error\r\nand ends.";
            try (RelayFixture relay = new RelayFixture(1)) {
                relay.replica(0).addScript(e -> respond(e, 200, text));
                assertThat(relay.request("POST", "/charge/1", ReplicaScripts.ATTEMPT_HEADER, "x"))
                        .startsWith("HTTP/1.1 200")
                        .endsWith(text);
            }
        }
    }
}
