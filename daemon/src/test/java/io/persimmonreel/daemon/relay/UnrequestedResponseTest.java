package io.persimmonreel.daemon.relay;

import static io.persimmonreel.daemon.relay.UpstreamChannel.response;
import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against responses that belong to no request and leave no trace. */
class UnrequestedResponseTest {
    private final UpstreamChannel mReplica = new UpstreamChannel();

    private UnrequestedResponse onlyReport() {
        assertThat(mReplica.unrequested()).hasSize(1);
        return mReplica.unrequested().get(0);
    }

    private void exchange(final String attemptId) {
        mReplica.send(attemptId);
        mReplica.receive(response(attemptId, "done"));
        assertThat(mReplica.isEnded()).isTrue();
    }

    @Nested
    class BeforeTheOwnResponse {
        @Test
        void aSecondResponseToThePreviousAttemptIsReported() {
            exchange("a1");
            mReplica.advanceMillis(30);
            mReplica.send("a2");
            mReplica.receive(response("a1", "late") + response("a2", "own"));
            final UnrequestedResponse report = onlyReport();
            assertThat(report.kind()).isEqualTo(UnrequestedKind.OTHER_ATTEMPT);
            assertThat(report.replica().entry().id()).isEqualTo("r1");
            assertThat(report.connection()).isEqualTo(1);
            assertThat(report.exchanges()).isEqualTo(2);
            assertThat(report.expectedId()).isEqualTo("a2");
            assertThat(report.attemptId()).isEqualTo("a1");
            assertThat(report.status()).isEqualTo(200);
            assertThat(report.framing()).isEqualTo(ResponseFraming.LENGTH);
            assertThat(report.declaredLength()).isEqualTo(4);
            assertThat(report.ofPreviousExchange()).isTrue();
            assertThat(report.previousAgeNanos()).isEqualTo(TimeUnit.MILLISECONDS.toNanos(30));
            assertThat(mReplica.exchange().bytesReceived()).isEqualTo(3);
        }

        @Test
        void aResponseToAnUnknownAttemptIsReported() {
            mReplica.send("a2");
            mReplica.receive(response("a0", "late"));
            assertThat(onlyReport().kind()).isEqualTo(UnrequestedKind.OTHER_ATTEMPT);
            assertThat(onlyReport().ofPreviousExchange()).isFalse();
            assertThat(onlyReport().previousAgeNanos()).isEqualTo(-1);
        }

        @Test
        void anInterimResponseIsReported() {
            mReplica.send("a1");
            mReplica.receive("HTTP/1.1 103 Early Hints\r\n\r\n" + response("a1", "done"));
            assertThat(onlyReport().kind()).isEqualTo(UnrequestedKind.INTERIM);
            assertThat(onlyReport().expectedId()).isEqualTo("a1");
            assertThat(onlyReport().attemptId()).isNull();
            assertThat(onlyReport().framing()).isEqualTo(ResponseFraming.NONE);
            assertThat(mReplica.isEnded()).isTrue();
        }

        @Test
        void aResponseWithoutAnAttemptIdIsReported() {
            mReplica.send("a1");
            mReplica.receive("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
            assertThat(onlyReport().kind()).isEqualTo(UnrequestedKind.UNATTRIBUTED);
            assertThat(mReplica.failure()).isNotNull();
        }
    }

    @Nested
    class BetweenExchanges {
        @Test
        void aSecondResponseIsReportedAndClosesTheConnection() {
            exchange("a1");
            mReplica.advanceMillis(5);
            mReplica.receive(response("a1", "late"));
            assertThat(onlyReport().kind()).isEqualTo(UnrequestedKind.IDLE);
            assertThat(onlyReport().expectedId()).isNull();
            assertThat(onlyReport().ofPreviousExchange()).isTrue();
            assertThat(onlyReport().previousAgeNanos()).isEqualTo(TimeUnit.MILLISECONDS.toNanos(5));
            assertThat(mReplica.connection().isOpen()).isFalse();
        }

        @Test
        void eachResponseOfOneReadIsReported() {
            exchange("a1");
            mReplica.receive(response("a1", "late") + response("a0", "later"));
            assertThat(mReplica.unrequested())
                    .extracting(UnrequestedResponse::attemptId)
                    .containsExactly("a1", "a0");
        }

        @Test
        void bytesThatAreNoResponseAreReported() {
            exchange("a1");
            mReplica.receive("bytes without a meaning\r\n\r\n");
            assertThat(onlyReport().kind()).isEqualTo(UnrequestedKind.IDLE);
            assertThat(onlyReport().status()).isZero();
            assertThat(onlyReport().framing()).isNull();
            assertThat(mReplica.connection().isOpen()).isFalse();
        }

        @Test
        void aPartOfAHeadIsReportedAndClosesTheConnection() {
            exchange("a1");
            mReplica.receive("HTTP/1.1 200 O");
            assertThat(onlyReport().kind()).isEqualTo(UnrequestedKind.IDLE);
            assertThat(onlyReport().status()).isZero();
            assertThat(mReplica.connection().isOpen()).isFalse();
        }

        @Test
        void aResponseBeforeTheFirstRequestIsReported() {
            mReplica.receive(response("a0", "early"));
            assertThat(onlyReport().kind()).isEqualTo(UnrequestedKind.IDLE);
            assertThat(onlyReport().exchanges()).isZero();
            assertThat(mReplica.connection().isOpen()).isFalse();
        }
    }

    @Test
    void aResponseAfterTheLastOneIsReported() {
        mReplica.send("a1");
        mReplica.receive(
                "HTTP/1.1 200 OK\r\nPersimmonreel-Attempt: a1\r\nConnection: close\r\n"
                        + "Content-Length: 2\r\n\r\nok"
                        + response("a1", "again"));
        assertThat(onlyReport().kind()).isEqualTo(UnrequestedKind.AFTER_LAST);
        assertThat(onlyReport().ofPreviousExchange()).isTrue();
    }

    @Test
    void theRestOfACancelledResponseIsNotReported() {
        mReplica.cancelOnBody();
        mReplica.send("a1");
        mReplica.receive(
                "HTTP/1.1 200 OK\r\nPersimmonreel-Attempt: a1\r\n"
                        + "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n2\r\ncd\r\n0\r\n\r\n");
        assertThat(mReplica.exchange().end()).isEqualTo(UpstreamExchange.End.CANCELLED);
        assertThat(mReplica.unrequested()).isEmpty();
    }
}
