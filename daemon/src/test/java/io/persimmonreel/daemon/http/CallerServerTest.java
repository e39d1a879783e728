package io.persimmonreel.daemon.http;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.persimmonreel.core.customer.CustomerDirectory;
import io.persimmonreel.core.explain.DecisionRing;
import io.persimmonreel.core.request.Outcome;
import io.persimmonreel.core.request.Problem;
import io.persimmonreel.core.request.ProblemType;
import io.persimmonreel.core.request.Step;
import io.persimmonreel.core.service.Tier;
import io.persimmonreel.daemon.operator.DaemonMetrics;
import io.persimmonreel.daemon.request.RequestCoordinatorFixture;
import io.persimmonreel.daemon.request.Submission;
import io.persimmonreel.daemon.upstream.ScriptedUpstream;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests requests and responses over real connections, with scripted upstreams. */
class CallerServerTest {
    private static final String PROMPT = "{\"prompt\":\"p\"}";

    private final HttpClient mClient = HttpClient.newHttpClient();
    private final AtomicLong mIds = new AtomicLong();
    private volatile List<String> mWaitingFor = List.of();
    private final CustomerDirectory mCustomers =
            new CustomerDirectory(RequestCoordinatorFixture.time());
    private final DecisionRing mDecisions = new DecisionRing();
    private final DaemonMetrics mMetrics = new DaemonMetrics();
    private ScriptedUpstream mUpstream;
    private RequestCoordinatorFixture mFixture;
    private CallerServer mServer;

    @BeforeEach
    void start() throws Exception {
        mUpstream = new ScriptedUpstream();
        mFixture = new RequestCoordinatorFixture(mUpstream.replica("r1"));
        mCustomers.onConfiguration(mFixture.configuration);
        final CallerParts parts =
                new CallerParts(
                        mFixture.coordinator,
                        () -> Optional.of(mFixture.configuration),
                        () -> mWaitingFor,
                        mCustomers,
                        () -> "q" + mIds.incrementAndGet(),
                        () -> "pr1.key",
                        mDecisions,
                        mMetrics,
                        RequestCoordinatorFixture.time());
        mServer =
                new CallerServer(
                        new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                        Optional.empty(),
                        parts);
    }

    @AfterEach
    void stop() throws Exception {
        mServer.close();
        mFixture.close();
        mUpstream.close();
    }

    private HttpRequest.Builder post(final String path, final String body) {
        return HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + mServer.port() + path))
                .header("Authorization", "Bearer secret-1")
                .version(HttpClient.Version.HTTP_1_1)
                .POST(HttpRequest.BodyPublishers.ofString(body));
    }

    private HttpRequest.Builder draftRequest() {
        return post("/v1/services/draft/requests", PROMPT);
    }

    private HttpRequest.Builder chargeRequest() {
        return post("/v1/services/charge/requests", "{}").header("Idempotency-Key", "key-0001");
    }

    private HttpResponse<String> send(final HttpRequest.Builder request) throws Exception {
        return mClient.sendAsync(request.build(), HttpResponse.BodyHandlers.ofString())
                .get(20, TimeUnit.SECONDS);
    }

    private void expectProblem(
            final HttpRequest.Builder request, final ProblemType type, final Outcome outcome)
            throws Exception {
        final HttpResponse<String> response = send(request);
        final JsonNode problem = new ObjectMapper().readTree(response.body());
        assertThat(problem.path("type").asText()).isEqualTo(type.uri());
        assertThat(problem.path("outcome").asText()).isEqualTo(outcome.label());
        assertThat(problem.path("status").asInt()).isEqualTo(response.statusCode());
        assertThat(response.statusCode()).isEqualTo(type.status());
        assertThat(response.headers().firstValue("Content-Type"))
                .hasValueSatisfying(v -> assertThat(v).startsWith("application/problem+json"));
    }

    private void streamTwoTokens() {
        mUpstream.addScript(
                exchange -> {
                    final String id =
                            new ObjectMapper().readTree(exchange.body()).get("streamId").asText();
                    exchange.startEventStream();
                    exchange.sendToken(id, 0, "a");
                    exchange.sendToken(id, 1, "b");
                    exchange.sendEnd(id, 2);
                });
    }

    private Socket openSocket(final String text) throws Exception {
        final Socket socket = new Socket(InetAddress.getLoopbackAddress(), mServer.port());
        socket.setSoTimeout(20_000);
        socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
        return socket;
    }

    private static String rawDraftRequest() {
        return "POST /v1/services/draft/requests HTTP/1.1\r\nHost: h\r\n"
                + "Authorization: Bearer secret-1\r\nContent-Length: "
                + PROMPT.length()
                + "\r\n\r\n"
                + PROMPT;
    }

    @Nested
    class Answers {
        @Test
        void wholeAnswerIsOneDocument() throws Exception {
            streamTwoTokens();
            final HttpResponse<String> response = send(draftRequest());
            assertThat(response.body())
                    .isEqualTo(
                            "{\"requestId\":\"q1\",\"service\":\"draft\",\"tokens\":2,"
                                    + "\"text\":\"ab\"}");
            assertThat(response.headers().firstValue("Persimmonreel-Request-Id")).contains("q1");
            assertThat(response.headers().firstValue("Persimmonreel-Config-Version")).contains("3");
        }

        @Test
        void streamEndsWithTokenCountAndDigest() throws Exception {
            streamTwoTokens();
            final HttpResponse<String> response =
                    send(draftRequest().header("Accept", "text/event-stream"));
            assertThat(response.body())
                    .startsWith("event: token\ndata: {\"index\":0,\"text\":\"a\"}\n\n")
                    .endsWith(
                            "event: end\ndata: {\"requestId\":\"q1\",\"tokens\":2,\"sha256\":\""
                                    + RequestCoordinatorFixture.sha256("ab")
                                    + "\"}\n\n");
        }

        @Test
        void plainServiceAnswerIsForwarded() throws Exception {
            mUpstream.addScript(
                    exchange ->
                            exchange.sendJson(
                                    200,
                                    "Request-Id: " + exchange.header("Request-Id") + "\r\n",
                                    "{\"k\":1}"));
            assertThat(send(chargeRequest()).body()).isEqualTo("{\"k\":1}");
        }

        /**
         * Guards against a connection that is closed, or treated as pipelined, between requests.
         */
        @Test
        void manyRequestsShareOneConnection() throws Exception {
            for (int i = 0; i < 50; i++) {
                streamTwoTokens();
                assertThat(send(draftRequest()).statusCode()).isEqualTo(200);
                streamTwoTokens();
                assertThat(send(draftRequest().header("Accept", "text/event-stream")).body())
                        .contains("event: end");
            }
            assertThat(mCustomers.inProgress("c1")).isZero();
        }

        /** Guards against a broken stream that looks complete: its last event is a problem. */
        @Test
        void lostStreamEndsWithProblemEvent() throws Exception {
            mUpstream
                    .addScript(
                            exchange -> {
                                exchange.startEventStream();
                                exchange.sendToken("q1", 0, "a");
                            })
                    .addScript(exchange -> exchange.sendJson(404, "", "{}"))
                    .addScript(exchange -> exchange.sendJson(404, "", "{}"));
            final HttpResponse<String> response =
                    send(draftRequest().header("Accept", "text/event-stream"));
            assertThat(response.body())
                    .startsWith("event: token")
                    .contains("event: problem")
                    .contains("\"outcome\":\"may-have-run\"")
                    .doesNotContain("event: end");
        }
    }

    @Nested
    class Refusals {
        @Test
        void invalidRequestsGetTheirProblemType() throws Exception {
            expectProblem(
                    draftRequest().setHeader("Authorization", "Bearer other"),
                    ProblemType.UNAUTHORIZED,
                    Outcome.NOT_RUN);
            expectProblem(
                    post("/v1/services/none/requests", PROMPT),
                    ProblemType.UNKNOWN_SERVICE,
                    Outcome.NOT_RUN);
            expectProblem(
                    post("/v1/services/charge/requests", "{}"),
                    ProblemType.KEY_REQUIRED,
                    Outcome.NOT_RUN);
            expectProblem(
                    post("/v1/services/draft/requests", "{\"prompt\":1}"),
                    ProblemType.BAD_REQUEST,
                    Outcome.NOT_RUN);
            expectProblem(
                    post("/v1/services/draft/requests", "x".repeat(2000)),
                    ProblemType.BODY_TOO_LARGE,
                    Outcome.NOT_RUN);
            expectProblem(
                    draftRequest().header("Persimmonreel-Deadline", "-1"),
                    ProblemType.BAD_REQUEST,
                    Outcome.NOT_RUN);
            assertThat(mUpstream.requestLines()).isEmpty();
        }

        /**
         * Guards against refusals hidden from operators, and API keys and caller texts in records.
         */
        @Test
        void refusalsAreCountedAndRecorded() throws Exception {
            send(draftRequest().setHeader("Authorization", "Bearer other-secret"));
            send(post("/v1/services/name-of-caller/requests", "body-of-caller"));
            send(post("/v1/services/draft/requests", "body-of-caller"));
            send(post("/v1/services/draft/requests", "x".repeat(2000)));
            send(post("/name-of-caller", ""));
            final String metrics = new String(mMetrics.write(), StandardCharsets.UTF_8);
            final String counted = "persimmonreel_refusals_total{outcome=\"";
            assertThat(metrics)
                    .contains(counted + "unauthorized\",service=\"draft\"} 1.0")
                    .contains(counted + "unknown-service\",service=\"unknown\"} 2.0")
                    .contains(counted + "bad-request\",service=\"draft\"} 1.0")
                    .contains(counted + "body-too-large\",service=\"draft\"} 1.0")
                    .doesNotContain("of-caller");
            assertThat(mDecisions.latest(10)).hasSize(5);
            assertThat(mDecisions.latest(10).toString())
                    .contains("refused")
                    .doesNotContain("of-caller")
                    .doesNotContain("secret");
        }

        /** Guards against "not run" for a key whose request another daemon may have run. */
        @Test
        void unclaimedKeyMayHaveRunWhileNotReady() throws Exception {
            mWaitingFor = List.of("configuration");
            expectProblem(chargeRequest(), ProblemType.NOT_READY, Outcome.MAY_HAVE_RUN);
            expectProblem(draftRequest(), ProblemType.NOT_READY, Outcome.NOT_RUN);
        }

        /** Guards against a second body that runs under the idempotency key of the first. */
        @Test
        void keyReusedWithAnotherBodyIsRefused() throws Exception {
            mFixture.claims.grants = false;
            final CompletableFuture<HttpResponse<String>> response =
                    mClient.sendAsync(
                            chargeRequest().build(), HttpResponse.BodyHandlers.ofString());
            RequestCoordinatorFixture.await(() -> mFixture.claims.listener != null);
            mFixture.claims.listener.onRefused(
                    new Problem(
                            ProblemType.KEY_REUSED,
                            "other body",
                            Outcome.MAY_HAVE_RUN,
                            "q1",
                            0,
                            Step.CLAIM,
                            ""));
            assertThat(response.get(20, TimeUnit.SECONDS).statusCode()).isEqualTo(422);
            assertThat(mUpstream.requestLines()).isEmpty();
        }

        /** Guards against one customer that takes up all capacity for requests in progress. */
        @Test
        void requestsBeyondTheConcurrencyLimitAreRefused() throws Exception {
            mFixture.scheduler.setOpen(false);
            mClient.sendAsync(draftRequest().build(), HttpResponse.BodyHandlers.ofString());
            mClient.sendAsync(draftRequest().build(), HttpResponse.BodyHandlers.ofString());
            RequestCoordinatorFixture.await(() -> mFixture.scheduler.waiting().size() == 2);
            expectProblem(draftRequest(), ProblemType.QUOTA_EXCEEDED, Outcome.NOT_RUN);
        }

        /** Guards against headers of unlimited size; the server may reset the connection early. */
        @Test
        void oversizedHeadersAreRefused() throws Exception {
            streamTwoTokens();
            final HttpRequest.Builder small =
                    draftRequest().header("Persimmonreel-Parent", "x".repeat(12_000));
            assertThat(send(small).statusCode()).isEqualTo(200);
            final HttpRequest.Builder large =
                    draftRequest().header("Persimmonreel-Parent", "x".repeat(20_000));
            final Integer status =
                    mClient.sendAsync(large.build(), HttpResponse.BodyHandlers.ofString())
                            .handle((response, error) -> error == null ? response.statusCode() : 0)
                            .get(20, TimeUnit.SECONDS);
            assertThat(status == 0 || status / 100 == 4).isTrue();
            assertThat(mUpstream.requestLines()).hasSize(1);
            assertThat(mIds).hasValue(1);
        }
    }

    @Nested
    class TierAndDeadline {
        /** Guards against callers that raise their tier or extend their deadline. */
        @Test
        void headersAndParentOnlyLowerThem() throws Exception {
            mFixture.scheduler.setOpen(false);
            mClient.sendAsync(
                    chargeRequest()
                            .header("Persimmonreel-Tier", "bulk")
                            .header("Persimmonreel-Deadline", "5000")
                            .build(),
                    HttpResponse.BodyHandlers.ofString());
            RequestCoordinatorFixture.await(
                    () -> mFixture.coordinator.findSubmission("q1").isPresent());
            final Submission lowered = mFixture.coordinator.findSubmission("q1").orElseThrow();
            assertThat(lowered.tier()).isEqualTo(Tier.BULK);
            assertThat(lowered.deadlineNanos() - lowered.arrivalNanos())
                    .isEqualTo(TimeUnit.SECONDS.toNanos(5));
            mClient.sendAsync(
                    draftRequest()
                            .header("Persimmonreel-Tier", "urgent")
                            .header("Persimmonreel-Deadline", "99999999")
                            .header("Persimmonreel-Parent", "q1")
                            .build(),
                    HttpResponse.BodyHandlers.ofString());
            RequestCoordinatorFixture.await(
                    () -> mFixture.coordinator.findSubmission("q2").isPresent());
            final Submission child = mFixture.coordinator.findSubmission("q2").orElseThrow();
            assertThat(child.tier()).isEqualTo(Tier.BULK);
            assertThat(child.deadlineNanos()).isEqualTo(lowered.deadlineNanos());
        }
    }

    @Nested
    class IdempotencyKeys {
        @Test
        void keysAreIssuedToCustomersOnly() throws Exception {
            assertThat(send(post("/v1/keys", "")).body()).isEqualTo("{\"key\":\"pr1.key\"}");
            expectProblem(
                    post("/v1/keys", "").setHeader("Authorization", "Bearer x"),
                    ProblemType.UNAUTHORIZED,
                    Outcome.NOT_RUN);
        }
    }

    @Nested
    class Connections {
        /** Guards against a queued request that runs although its caller is gone. */
        @Test
        void closedConnectionCancelsItsRequest() throws Exception {
            mFixture.scheduler.setOpen(false);
            try (Socket socket = openSocket(rawDraftRequest())) {
                RequestCoordinatorFixture.await(() -> mFixture.scheduler.waiting().size() == 1);
            }
            RequestCoordinatorFixture.await(() -> mFixture.scheduler.waiting().isEmpty());
            RequestCoordinatorFixture.await(() -> mFixture.coordinator.inProgress() == 0);
        }

        /** Guards against pipelined requests that receive each other's responses. */
        @Test
        void pipelinedRequestsCloseTheConnection() throws Exception {
            mFixture.scheduler.setOpen(false);
            try (Socket socket = openSocket(rawDraftRequest() + rawDraftRequest())) {
                final InputStream in = socket.getInputStream();
                assertThat(in.read()).isEqualTo(-1);
            }
            RequestCoordinatorFixture.await(() -> mFixture.coordinator.inProgress() == 0);
        }
    }
}
