package io.persimmonreel.daemon.upstream;

import static org.assertj.core.api.Assertions.assertThat;

import io.persimmonreel.core.service.ReplicaSpec;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class UpstreamClientTest {
    private static final String STREAM_ID = "s1";

    private final ExecutorService mExecutor = Executors.newCachedThreadPool();
    private final UpstreamHttpClient mHttp = new UpstreamHttpClient(mExecutor);
    private final AtomicInteger mDispatches = new AtomicInteger();
    private ScriptedUpstream mUpstream;

    @BeforeEach
    void start() throws Exception {
        mUpstream = new ScriptedUpstream();
    }

    @AfterEach
    void stop() throws Exception {
        mUpstream.close();
        mExecutor.shutdownNow();
    }

    private boolean allowDispatch() {
        mDispatches.incrementAndGet();
        return true;
    }

    private static ReplicaSpec replicaAtClosedPort() throws Exception {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return new ReplicaSpec("r0", "127.0.0.1:" + socket.getLocalPort(), "z", "g", 1);
        }
    }

    /** Collects the tokens of a stream and how it ended. */
    private static final class Collector implements StreamListener {
        private final List<String> mTokens = new CopyOnWriteArrayList<>();
        private final CompletableFuture<UpstreamException> mResult = new CompletableFuture<>();

        @Override
        public void onToken(final int index, final String text) {
            mTokens.add(text);
        }

        @Override
        public void onEnd(final int tokens) {
            assertThat(mResult.complete(null)).isTrue();
        }

        @Override
        public void onFailure(final UpstreamException failure) {
            assertThat(mResult.complete(failure)).isTrue();
        }

        UpstreamException await() throws Exception {
            return mResult.get(10, TimeUnit.SECONDS);
        }
    }

    @Nested
    class EngineStream {
        private final Collector mCollector = new Collector();

        private UpstreamException open(final ScriptedUpstream.Script script) throws Exception {
            mUpstream.addScript(script);
            return open(mUpstream.replica("r1"), UpstreamClientTest.this::allowDispatch);
        }

        private UpstreamException open(final ReplicaSpec replica, final DispatchGate gate)
                throws Exception {
            final StreamRequest request = new StreamRequest(STREAM_ID, "m", "1", "p", 1, 0, 9);
            new EngineClient(mHttp).open(replica, request, gate, mCollector);
            return mCollector.await();
        }

        @Test
        void passesOnACompleteStream() throws Exception {
            final UpstreamException failure =
                    open(
                            exchange -> {
                                exchange.startEventStream();
                                exchange.sendToken(STREAM_ID, 0, "a");
                                exchange.sendToken(STREAM_ID, 1, "b");
                                exchange.sendEnd(STREAM_ID, 2);
                            });
            assertThat(failure).isNull();
            assertThat(mCollector.mTokens).containsExactly("a", "b");
        }

        /** Guards against a connection that stays open forever because its response never ends. */
        @Test
        void closesAConnectionThatStaysOpenAfterTheEndEvent() throws Exception {
            final CompletableFuture<Void> closed = new CompletableFuture<>();
            final UpstreamException failure =
                    open(
                            exchange -> {
                                exchange.startEventStream();
                                exchange.sendEnd(STREAM_ID, 0);
                                exchange.awaitClose();
                                closed.complete(null);
                            });
            assertThat(failure).isNull();
            closed.get(20, TimeUnit.SECONDS);
        }

        /** Guards against taking a stream that ends early for a complete response. */
        @Test
        void reportsAStreamWithoutEndEvent() throws Exception {
            final UpstreamException failure =
                    open(
                            exchange -> {
                                exchange.startEventStream();
                                exchange.sendToken(STREAM_ID, 0, "a");
                            });
            assertThat(failure.fault()).isEqualTo(UpstreamFault.BROKEN);
        }

        /** Guards against delivering tokens of another caller's stream. */
        @Test
        void rejectsATokenOfAnotherStream() throws Exception {
            final UpstreamException failure =
                    open(
                            exchange -> {
                                exchange.startEventStream();
                                exchange.sendToken(STREAM_ID, 0, "a");
                                exchange.sendToken("s2", 1, "b");
                                exchange.awaitClose();
                            });
            assertThat(failure.fault()).isEqualTo(UpstreamFault.INVALID_RESPONSE);
            assertThat(mCollector.mTokens).containsExactly("a");
        }

        /** Guards against delivering a token twice, and against an end event with a wrong count. */
        @Test
        void rejectsARepeatedTokenAndAWrongCount() throws Exception {
            final UpstreamException repeated =
                    open(
                            exchange -> {
                                exchange.startEventStream();
                                exchange.sendToken(STREAM_ID, 0, "a");
                                exchange.sendToken(STREAM_ID, 0, "a");
                                exchange.sendEnd(STREAM_ID, 2);
                            });
            assertThat(repeated.fault()).isEqualTo(UpstreamFault.INVALID_RESPONSE);
            assertThat(mCollector.mTokens).containsExactly("a");
            final Collector second = new Collector();
            mUpstream.addScript(
                    exchange -> {
                        exchange.startEventStream();
                        exchange.sendToken(STREAM_ID, 3, "d");
                        exchange.sendEnd(STREAM_ID, 5);
                    });
            new EngineClient(mHttp).resume(mUpstream.replica("r1"), STREAM_ID, 3, 9, second);
            assertThat(second.await().fault()).isEqualTo(UpstreamFault.INVALID_RESPONSE);
        }

        /** Guards against an engine that sends more tokens than requested. */
        @Test
        void rejectsATokenBeyondTheMaximum() throws Exception {
            final UpstreamException failure =
                    open(
                            exchange -> {
                                exchange.startEventStream();
                                for (int i = 0; i < 10; i++) {
                                    exchange.sendToken(STREAM_ID, i, "a");
                                }
                                exchange.awaitClose();
                            });
            assertThat(failure.fault()).isEqualTo(UpstreamFault.INVALID_RESPONSE);
            assertThat(mCollector.mTokens).hasSize(9);
            final Collector resumed = new Collector();
            mUpstream.addScript(
                    exchange -> {
                        exchange.startEventStream();
                        exchange.sendToken(STREAM_ID, 8, "i");
                        exchange.sendToken(STREAM_ID, 9, "j");
                        exchange.awaitClose();
                    });
            new EngineClient(mHttp).resume(mUpstream.replica("r1"), STREAM_ID, 8, 9, resumed);
            assertThat(resumed.await().fault()).isEqualTo(UpstreamFault.INVALID_RESPONSE);
            assertThat(resumed.mTokens).containsExactly("i");
        }

        /** Guards against counting a failed connect as a dispatch. */
        @Test
        void doesNotCountARefusedConnectionAsADispatch() throws Exception {
            final UpstreamException failure =
                    open(replicaAtClosedPort(), UpstreamClientTest.this::allowDispatch);
            assertThat(failure.fault()).isEqualTo(UpstreamFault.NOT_SENT);
            assertThat(mDispatches).hasValue(0);
        }

        /** Guards against sending a request whose caller was told that it did not run. */
        @Test
        void sendsNothingWhenTheGateDeniesTheDispatch() throws Exception {
            final UpstreamException failure = open(mUpstream.replica("r1"), () -> false);
            assertThat(failure.fault()).isEqualTo(UpstreamFault.NOT_SENT);
            assertThat(mUpstream.requestLines()).isEmpty();
        }

        /** Guards against a retry inside the HTTP client after the request was written. */
        @Test
        void sendsOnceWhenTheConnectionBreaksBeforeTheResponse() throws Exception {
            final UpstreamException failure = open(exchange -> exchange.socket().close());
            assertThat(failure.fault()).isEqualTo(UpstreamFault.BROKEN);
            assertThat(mDispatches).hasValue(1);
            assertThat(mUpstream.requestLines()).hasSize(1);
        }
    }

    @Nested
    class PlainRequest {
        private UpstreamException run(final ScriptedUpstream.Script script) throws Exception {
            mUpstream.addScript(script);
            return new PlainClient(mHttp)
                    .run(
                            mUpstream.replica("p1"),
                            "q1",
                            "key-0001",
                            "{}".getBytes(),
                            Duration.ofSeconds(5),
                            UpstreamClientTest.this::allowDispatch)
                    .handle((response, error) -> (UpstreamException) error)
                    .get(10, TimeUnit.SECONDS);
        }

        @Test
        void acceptsAResponseThatEchoesTheRequestId() throws Exception {
            assertThat(run(exchange -> exchange.sendJson(200, "Request-Id: q1\r\n", "{\"ok\":1}")))
                    .isNull();
        }

        /** Guards against delivering the response to another request. */
        @Test
        void rejectsAResponseWithAnotherOrNoRequestId() throws Exception {
            assertThat(run(exchange -> exchange.sendJson(200, "Request-Id: q2\r\n", "{}")).fault())
                    .isEqualTo(UpstreamFault.INVALID_RESPONSE);
            assertThat(run(exchange -> exchange.sendJson(200, "", "{}")).fault())
                    .isEqualTo(UpstreamFault.INVALID_RESPONSE);
        }

        /** Guards against delivering a truncated document or two documents. */
        @Test
        void rejectsATruncatedDocumentAndTwoDocuments() throws Exception {
            assertThat(
                            run(exchange ->
                                            exchange.sendJson(
                                                    200, "Request-Id: q1\r\n", "{\"ok\":"))
                                    .fault())
                    .isEqualTo(UpstreamFault.INVALID_RESPONSE);
            assertThat(
                            run(exchange -> exchange.sendJson(200, "Request-Id: q1\r\n", "{}{}"))
                                    .fault())
                    .isEqualTo(UpstreamFault.INVALID_RESPONSE);
            final String head = "HTTP/1.1 200 OK\r\nRequest-Id: q1\r\nContent-Length: 9\r\n\r\n{";
            assertThat(run(exchange -> exchange.write(head)).fault())
                    .isEqualTo(UpstreamFault.BROKEN);
        }
    }
}
