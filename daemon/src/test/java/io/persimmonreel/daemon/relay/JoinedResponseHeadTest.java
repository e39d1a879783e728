package io.persimmonreel.daemon.relay;

import static io.persimmonreel.daemon.relay.ReplicaScripts.respond;
import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against a failure whose status is taken from a part of another head before it. */
class JoinedResponseHeadTest {
    private static final String FAILURE =
            "HTTP/1.1 500 Internal Server Error\r\nPersimmonreel-Attempt: a1\r\n"
                    + "Content-Length: 2\r\n\r\nno";

    private final UpstreamChannel mReplica = new UpstreamChannel();

    /** Receives a part of a head and the response after it, in one read and in two. */
    private void receiveAfterRequest(final String part, final boolean inOneRead) {
        mReplica.send("a1");
        if (inOneRead) {
            mReplica.receive(part + FAILURE);
        } else {
            mReplica.receive(part);
            mReplica.receive(FAILURE);
        }
    }

    private void assertFailed() {
        assertThat(mReplica.failure()).isNotNull();
        assertThat(mReplica.isEnded()).isFalse();
        assertThat(mReplica.connection().isOpen()).isFalse();
    }

    @Nested
    class AfterTheRequestWasSent {
        @Test
        void aPartThatEndsInTheReasonPhraseFailsTheExchange() {
            receiveAfterRequest("HTTP/1.1 200 O", true);
            assertFailed();
            assertThat(mReplica.unrequested())
                    .extracting(UnrequestedResponse::kind)
                    .containsExactly(UnrequestedKind.JOINED_HEAD);
        }

        @Test
        void aPartThatEndsBeforeTheReasonPhraseFailsTheExchange() {
            receiveAfterRequest("HTTP/1.1 200 ", false);
            assertFailed();
        }

        @Test
        void aPartThatEndsInAFieldFailsTheExchange() {
            receiveAfterRequest("HTTP/1.1 200 OK\r\nPersimmonreel-Signature: 5.ec", false);
            assertFailed();
        }

        @Test
        void aPartThatEndsAfterALineFailsTheExchange() {
            receiveAfterRequest("HTTP/1.1 200 OK\r\n", true);
            assertFailed();
        }
    }

    @Test
    void aCallerGetsNoSuccessWhereTheReplicaFailed() throws Exception {
        try (RelayFixture relay = new RelayFixture(1)) {
            relay.replica(0)
                    .addScript(
                            e -> {
                                respond(e, 200, "done");
                                e.write("HTTP/1.1 200 O");
                            })
                    .addScript(e -> respond(e, 500, "failed"));
            assertThat(relay.request("POST", "/charge/1", "Persimmonreel-Attempt: a1\r\n", "x"))
                    .endsWith("done");
            assertThat(relay.request("POST", "/charge/2", "Persimmonreel-Attempt: a2\r\n", "x"))
                    .startsWith("HTTP/1.1 500")
                    .endsWith("failed");
        }
    }

    @Test
    void aFieldThatNamesAVersionIsNoOtherHead() {
        mReplica.send("a1");
        mReplica.receive(
                "HTTP/1.1 200 OK\r\nPersimmonreel-Attempt: a1\r\nVia: HTTP/1.1 proxy\r\n"
                        + "Content-Length: 2\r\n\r\nok");
        assertThat(mReplica.isEnded()).isTrue();
    }
}
