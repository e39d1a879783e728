package io.persimmonreel.daemon.relay;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.persimmonreel.core.ratelimit.RateLimitStatement;
import io.persimmonreel.daemon.relay.ExchangeCheck.Mismatch;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against responses to callers that differ from the replica's without a trace. */
class ExchangeCheckTest {
    private static final String ID = "a1";
    private static final int BYTES = 10;

    /** Returns an exchange whose response has a length of ten bytes, and ended if it is whole. */
    private static UpstreamExchange exchange(
            final int status, final String responseId, final boolean genuine, final boolean whole) {
        final UpstreamExchange exchange = new UpstreamExchange(1, 1, ID, false, 0);
        final HttpResponse response =
                new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status));
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, BYTES);
        exchange.onResponse(
                response,
                new ReplicaHeaders(
                        responseId,
                        false,
                        genuine,
                        -1,
                        RateLimitStatement.parse(List.of()),
                        false,
                        0),
                ResponseFraming.of(response, false),
                0);
        exchange.onReceived(whole ? BYTES : BYTES / 2);
        exchange.end(whole ? UpstreamExchange.End.COMPLETE : UpstreamExchange.End.RESET, whole, 0);
        return exchange;
    }

    private static UpstreamExchange success() {
        return exchange(200, ID, true, true);
    }

    private static UpstreamExchange forwarded(
            final UpstreamExchange exchange, final int status, final int bytes) {
        exchange.onStatusForwarded(status);
        exchange.onForwarded(bytes);
        exchange.onForwardedToEnd();
        return exchange;
    }

    private static void assertMatches(final UpstreamExchange exchange) {
        assertThat(ExchangeCheck.check(ID, exchange, exchange, false)).isEmpty();
    }

    private static void assertMismatch(final UpstreamExchange exchange, final Mismatch mismatch) {
        assertThat(ExchangeCheck.check(ID, exchange, exchange, false)).contains(mismatch);
    }

    @Nested
    class OneExchange {
        @Test
        void aResponsePassedOnUnchangedMatches() {
            assertMatches(forwarded(success(), 200, BYTES));
        }

        @Test
        void aFailurePassedOnWithoutASignatureMatches() {
            assertMatches(forwarded(exchange(500, ID, false, true), 500, BYTES));
        }

        @Test
        void aResponseThatIsBrokenOffAsTheReplicaBrokeItOffMatches() {
            final UpstreamExchange exchange = exchange(200, ID, true, false);
            exchange.onStatusForwarded(200);
            exchange.onForwarded(BYTES / 2);
            assertMatches(exchange);
        }

        @Test
        void aSuccessForAFailureOfTheReplicaIsAMismatch() {
            assertMismatch(forwarded(exchange(500, ID, true, true), 200, BYTES), Mismatch.STATUS);
        }

        @Test
        void aSuccessWithoutAResponseOfTheReplicaIsAMismatch() {
            final UpstreamExchange exchange = new UpstreamExchange(1, 1, ID, false, 0);
            assertMismatch(forwarded(exchange, 200, 0), Mismatch.STATUS);
        }

        @Test
        void aResponseToAnotherAttemptIsAMismatch() {
            assertMismatch(
                    forwarded(exchange(200, "a0", true, true), 200, BYTES), Mismatch.ATTEMPT_ID);
        }

        @Test
        void aResponseWithoutAnAttemptIdIsAMismatch() {
            assertMismatch(
                    forwarded(exchange(200, null, true, true), 200, BYTES), Mismatch.ATTEMPT_ID);
        }

        @Test
        void theExchangeOfAnotherAttemptIsAMismatch() {
            final UpstreamExchange exchange = forwarded(success(), 200, BYTES);
            assertThat(ExchangeCheck.check("a2", exchange, exchange, false))
                    .contains(Mismatch.ATTEMPT_ID);
        }

        @Test
        void aSuccessWithoutASignatureIsAMismatch() {
            assertMismatch(
                    forwarded(exchange(200, ID, false, true), 200, BYTES), Mismatch.SIGNATURE);
        }

        @Test
        void aResponseThatEndsAsCompleteThoughTheReplicaBrokeItOffIsAMismatch() {
            assertMismatch(forwarded(exchange(200, ID, true, false), 200, BYTES / 2), Mismatch.END);
        }

        @Test
        void aShorterBodyIsAMismatch() {
            assertMismatch(forwarded(success(), 200, BYTES - 1), Mismatch.LENGTH);
        }

        @Test
        void aLongerBodyIsAMismatchEvenIfItIsBrokenOff() {
            final UpstreamExchange exchange = exchange(200, ID, true, false);
            exchange.onStatusForwarded(200);
            exchange.onForwarded(BYTES / 2 + 1);
            assertMismatch(exchange, Mismatch.LENGTH);
        }

        @Test
        void aBodyThatIsNotAsLongAsDeclaredIsAMismatch() {
            final UpstreamExchange exchange = success();
            exchange.onReceived(1);
            assertMismatch(forwarded(exchange, 200, BYTES + 1), Mismatch.LENGTH);
        }

        @Test
        void aStreamThatTheCallerResumesMayLeaveOutEvents() {
            final UpstreamExchange exchange = forwarded(success(), 200, BYTES - 1);
            assertThat(ExchangeCheck.check(ID, exchange, exchange, true)).isEmpty();
        }
    }

    @Nested
    class AResumedStream {
        private final UpstreamExchange mFirst = exchange(200, ID, true, false);

        private void assertCheck(final UpstreamExchange last, final Mismatch mismatch) {
            mFirst.onStatusForwarded(200);
            mFirst.onForwarded(1);
            last.onForwarded(BYTES - 1);
            last.onForwardedToEnd();
            assertThat(ExchangeCheck.check(ID, mFirst, last, false).orElse(null))
                    .isEqualTo(mismatch);
        }

        @Test
        void matchesIfItsLastReplicaEndedIt() {
            assertCheck(success(), null);
        }

        @Test
        void isAMismatchIfItsLastReplicaAnsweredWithAFailure() {
            assertCheck(exchange(500, ID, true, true), Mismatch.STATUS);
        }

        @Test
        void isAMismatchIfItsLastResponseIsToAnotherAttempt() {
            assertCheck(exchange(200, "a0", true, true), Mismatch.ATTEMPT_ID);
        }

        @Test
        void isAMismatchIfItEndsAsCompleteThoughItsLastReplicaBrokeItOff() {
            assertCheck(exchange(200, ID, true, false), Mismatch.END);
        }
    }
}
