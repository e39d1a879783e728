package io.persimmonreel.daemon.relay;

import static io.persimmonreel.daemon.relay.ReplicaScripts.ATTEMPT_HEADER;
import static io.persimmonreel.daemon.relay.ReplicaScripts.respond;
import static io.persimmonreel.daemon.relay.ReplicaScripts.runCount;
import static org.assertj.core.api.Assertions.assertThat;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import java.time.Duration;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class UnexpectedErrorTest {
    private static final String FAILING = "Failing";

    /** Fails for requests with one header field, and for responses with it. */
    private static final class FailingDialect implements RelayDialect {
        private final RelayDialect mDialect = new NativeDialect();

        @Override
        public CallerHeaders readRequest(final HttpRequest request) {
            return mDialect.readRequest(request);
        }

        @Override
        public void writeRequest(final HttpHeaders headers, final DispatchHeaders dispatch) {
            failIfMarked(headers);
            mDialect.writeRequest(headers, dispatch);
        }

        @Override
        public ReplicaHeaders readResponse(final HttpResponse response) {
            failIfMarked(response.headers());
            return mDialect.readResponse(response);
        }

        @Override
        public String attemptField() {
            return mDialect.attemptField();
        }

        @Override
        public String retryAfter(final long millis) {
            return mDialect.retryAfter(millis);
        }

        private static void failIfMarked(final HttpHeaders headers) {
            if (headers.contains(FAILING)) {
                throw new StackOverflowError("expected in this test");
            }
        }
    }

    private static RelayFixture relay() throws Exception {
        return new RelayFixture(
                1,
                Duration.ofSeconds(8),
                RelayFixture.configuration(1, 2, 0),
                new FailingDialect());
    }

    private static void assertServes(final RelayFixture relay) throws Exception {
        relay.replica(0).addScript(e -> respond(e, 200, "whole"));
        assertThat(relay.request("POST", "/charge/2", ATTEMPT_HEADER, "x")).endsWith("whole");
    }

    /** Guards against an error in one request that leaves it, or others, without a response. */
    @Nested
    class OfOneRequest {
        @Test
        void beforeItIsSentEndsItAsNotRun() throws Exception {
            try (RelayFixture relay = relay()) {
                assertThat(
                                relay.request(
                                        "POST",
                                        "/charge/1",
                                        ATTEMPT_HEADER + FAILING + ": 1\r\n",
                                        "x"))
                        .startsWith("HTTP/1.1 503");
                assertThat(runCount(relay, 1)).isZero();
                RelayFixture.await(() -> relay.log().contains("\"step\":\"dispatch\""));
                assertServes(relay);
            }
        }

        @Test
        void afterItRanEndsItWithoutAPromise() throws Exception {
            try (RelayFixture relay = relay()) {
                relay.replica(0).addScript(e -> respond(e, 200, FAILING + ": 1\r\n", "lost"));
                assertThat(relay.request("POST", "/charge/1", ATTEMPT_HEADER, "x"))
                        .startsWith("HTTP/1.1 502");
                assertServes(relay);
            }
        }
    }
}
