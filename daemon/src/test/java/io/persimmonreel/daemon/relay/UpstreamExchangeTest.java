package io.persimmonreel.daemon.relay;

import static io.persimmonreel.daemon.relay.UpstreamChannel.response;
import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.http.HttpMethod;
import java.io.IOException;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Guards against records of exchanges that don't tell how a response was framed and ended. */
class UpstreamExchangeTest {
    private static final String HEAD = "HTTP/1.1 200 OK\r\nPersimmonreel-Attempt: a1\r\n";

    private final UpstreamChannel mReplica = new UpstreamChannel();

    private UpstreamExchange receive(final String text) {
        mReplica.send("a1");
        mReplica.receive(text);
        return mReplica.exchange();
    }

    private static void assertEnd(
            final UpstreamExchange exchange,
            final ResponseFraming framing,
            final UpstreamExchange.End end,
            final boolean whole) {
        assertThat(exchange.framing()).isEqualTo(framing);
        assertThat(exchange.end()).isEqualTo(end);
        assertThat(exchange.isWhole()).isEqualTo(whole);
    }

    @Test
    void tellsAResponseWithALength() {
        final UpstreamExchange exchange = receive(response("a1", "done"));
        assertEnd(exchange, ResponseFraming.LENGTH, UpstreamExchange.End.COMPLETE, true);
        assertThat(exchange.declaredLength()).isEqualTo(4);
        assertThat(exchange.bytesReceived()).isEqualTo(4);
        assertThat(exchange.status()).isEqualTo(200);
        assertThat(exchange.responseAttemptId()).isEqualTo("a1");
        assertThat(exchange.isGenuine()).isTrue();
    }

    @Test
    void tellsAResponseInChunks() {
        final UpstreamExchange exchange =
                receive(HEAD + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n");
        assertEnd(exchange, ResponseFraming.CHUNKED, UpstreamExchange.End.COMPLETE, true);
        assertThat(exchange.declaredLength()).isEqualTo(-1);
        assertThat(exchange.bytesReceived()).isEqualTo(2);
    }

    @Test
    void tellsAResponseThatEndsWithItsConnection() {
        final UpstreamExchange exchange = receive(HEAD + "\r\nok");
        mReplica.connection().onEndOfInput();
        mReplica.channel().close();
        assertEnd(
                exchange, ResponseFraming.CONNECTION_END, UpstreamExchange.End.END_OF_INPUT, true);
    }

    @Test
    void tellsAResponseWithoutALengthWhoseConnectionWasReset() {
        final UpstreamExchange exchange = receive(HEAD + "\r\nok");
        mReplica.channel().pipeline().fireExceptionCaught(new IOException("Connection reset"));
        assertEnd(exchange, ResponseFraming.CONNECTION_END, UpstreamExchange.End.RESET, false);
    }

    @Test
    void tellsAResponseWithoutALengthWhoseConnectionIsLostWithoutAnEndOfInput() {
        final UpstreamExchange exchange = receive(HEAD + "\r\nok");
        mReplica.channel().close();
        assertEnd(exchange, ResponseFraming.CONNECTION_END, UpstreamExchange.End.RESET, false);
        assertThat(mReplica.isEnded()).isFalse();
        assertThat(mReplica.failure()).isNotNull();
    }

    @Test
    void tellsTheEndOfInputInsideAResponse() {
        final UpstreamExchange exchange = receive(HEAD + "Content-Length: 4\r\n\r\nok");
        mReplica.channel().pipeline().fireUserEventTriggered(ChannelInputShutdownEvent.INSTANCE);
        assertEnd(exchange, ResponseFraming.LENGTH, UpstreamExchange.End.END_OF_INPUT, false);
        assertThat(exchange.bytesReceived()).isEqualTo(2);
    }

    @Test
    void tellsAConnectionThatIsLostInsideAResponse() {
        final UpstreamExchange exchange = receive(HEAD + "Content-Length: 4\r\n\r\nok");
        mReplica.channel().close();
        assertEnd(exchange, ResponseFraming.LENGTH, UpstreamExchange.End.RESET, false);
    }

    @Test
    void tellsBytesThatAreNoResponse() {
        final UpstreamExchange exchange = receive("bytes without a meaning\r\n\r\n");
        assertEnd(exchange, null, UpstreamExchange.End.FAILURE, false);
        assertThat(exchange.hasResponse()).isFalse();
    }

    @Test
    void tellsACancelledExchange() {
        final UpstreamExchange exchange = receive(HEAD + "Content-Length: 4\r\n\r\nok");
        mReplica.connection().cancel();
        assertEnd(exchange, ResponseFraming.LENGTH, UpstreamExchange.End.CANCELLED, false);
    }

    @Test
    void tellsTheResponseToAHeadRequest() {
        mReplica.send("a1", HttpMethod.HEAD);
        mReplica.receive(HEAD + "Content-Length: 4\r\n\r\n");
        assertThat(mReplica.exchange().framing()).isEqualTo(ResponseFraming.NONE);
        assertThat(mReplica.exchange().declaredLength()).isEqualTo(4);
    }

    @Test
    void numbersTheExchangesAndTellsARepeatedAttemptId() {
        final UpstreamExchange first = receive(response("a1", "done"));
        mReplica.advanceMillis(3);
        mReplica.send("a1");
        mReplica.advanceMillis(2);
        mReplica.receive(response("a1", "done"));
        final UpstreamExchange second = mReplica.exchange();
        assertThat(first.number()).isEqualTo(1);
        assertThat(first.isIdRepeated()).isFalse();
        assertThat(second.number()).isEqualTo(2);
        assertThat(second.isIdRepeated()).isTrue();
        assertThat(second.connection()).isEqualTo(first.connection());
        assertThat(second.headNanos()).isEqualTo(TimeUnit.MILLISECONDS.toNanos(2));
    }

    @Test
    void tellsWhetherTheResponseWasWholeWhenItsFirstByteWasForwarded() {
        final UpstreamExchange early = receive(HEAD + "Content-Length: 4\r\n\r\nok");
        early.onForwarding();
        mReplica.receive("ok");
        early.onForwarding();
        assertThat(early.isWhole()).isTrue();
        assertThat(early.isForwardedWhole()).isFalse();
        final UpstreamExchange late = receive(response("a1", "done"));
        late.onForwarding();
        assertThat(late.isForwardedWhole()).isTrue();
    }
}
