package io.persimmonreel.fakes;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.persimmonreel.fakes.Fault.Kind;
import java.io.IOException;
import java.net.ConnectException;
import java.net.http.HttpResponse;
import java.net.http.HttpTimeoutException;
import java.time.Duration;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class FakeEngineTest {
    private static final String PROMPT = "wash cycle tokens=6";

    private final ObjectMapper mJson = new ObjectMapper();
    private final FakeEngine mEngine =
            new FakeEngine(
                    EngineSettings.of("e1", "g3", 4, "m", "1", true)
                            .withSpeed(new EngineSpeed(100_000, 2_000)),
                    0);
    private final TestClient mClient = new TestClient(mEngine);

    @BeforeEach
    void start() throws IOException {
        mEngine.start();
    }

    @AfterEach
    void stop() {
        mEngine.stop();
    }

    private HttpResponse<String> stream(final String id) throws Exception {
        return mClient.send("POST", "/v1/streams", body(id, PROMPT));
    }

    private static String body(final String id, final String prompt) {
        return "{\"streamId\":\""
                + id
                + "\",\"model\":\"m\",\"modelVersion\":\"1\",\"prompt\":\""
                + prompt
                + "\",\"promptTokens\":20,\"prefixHash\":\"7\",\"maxOutputTokens\":100}";
    }

    private String tokenText(final String events) throws IOException {
        final StringBuilder text = new StringBuilder();
        for (final String line : events.split("\n")) {
            if (line.startsWith("data: ") && line.contains("\"text\"")) {
                text.append(mJson.readTree(line.substring(6)).path("text").asText());
            }
        }
        return text.toString();
    }

    @Nested
    class Streams {
        @Test
        void sendTheExpectedTextAndAnEndEvent() throws Exception {
            final HttpResponse<String> response = stream("s1");
            assertThat(response.statusCode()).isEqualTo(200);
            assertThat(tokenText(response.body())).isEqualTo(FakeEngine.expectedText(PROMPT, 6));
            assertThat(response.body()).contains("event: end", "\"tokens\":6");
            assertThat(mEngine.stats().runs()).containsEntry("s1", 1);
        }

        /**
         * Guards against a stream that can't be resumed at the token where its connection broke.
         */
        @Test
        void resumeAfterABrokenConnection() throws Exception {
            mEngine.faults().add(Fault.of(Kind.BREAK_STREAM).withAfter(2));
            assertThatThrownBy(() -> stream("s2")).isInstanceOf(IOException.class);
            final HttpResponse<String> rest =
                    mClient.send("POST", "/v1/streams/s2/resume", "{\"from\":2}");
            final String fullText = FakeEngine.expectedText(PROMPT, 6);
            assertThat(tokenText(rest.body()))
                    .isEqualTo(fullText.substring(FakeEngine.expectedText(PROMPT, 2).length()));
            assertThat(mEngine.stats().runs()).containsEntry("s2", 1);
        }

        /** Guards against an exported KV cache with which another engine can't go on. */
        @Test
        void continueOnAnotherEngineAfterExport() throws Exception {
            mEngine.faults().add(Fault.of(Kind.BREAK_STREAM).withAfter(1));
            assertThatThrownBy(() -> stream("s3")).isInstanceOf(IOException.class);
            final String kv = mClient.send("GET", "/v1/streams/s3/kv", "").body();
            try (FakeEngine other =
                    new FakeEngine(EngineSettings.of("e2", "g2", 4, "m", "1", true), 0)) {
                other.start();
                final TestClient client = new TestClient(other);
                assertThat(client.send("PUT", "/v1/streams/s3/kv", kv).statusCode()).isEqualTo(200);
                final String rest =
                        client.send("POST", "/v1/streams/s3/resume", "{\"from\":0}").body();
                assertThat(tokenText(rest)).isEqualTo(FakeEngine.expectedText(PROMPT, 6));
                assertThat(other.stats().prefillTokensDone()).isZero();
            }
        }
    }

    @Nested
    class Faults {
        @Test
        void areInjectedTheRequestedNumberOfTimes() throws Exception {
            mClient.send(
                    "POST",
                    "/faults",
                    "[{\"kind\":\"no-end\"},{\"kind\":\"duplicate-token\",\"after\":1},"
                            + "{\"kind\":\"foreign-token\",\"after\":3}]");
            final String faulty = stream("f1").body();
            assertThat(faulty).doesNotContain("event: end").contains("another-request");
            assertThat(faulty.split("\"index\":1,")).hasSize(3);
            assertThat(stream("f2").body()).contains("event: end");
            mEngine.faults().add(Fault.of(Kind.FAIL_FAST).withStatus(503));
            assertThat(stream("f3").statusCode()).isEqualTo(503);
            assertThat(mEngine.stats().runs()).doesNotContainKey("f3");
            assertThat(mClient.send("POST", "/faults", "{\"kind\":\"none\"}").statusCode())
                    .isEqualTo(400);
        }

        /** Guards against a crashed engine that still accepts connections or keeps its streams. */
        @Test
        void crashRefusesConnectionsAndRestartsOnTheSamePort() throws Exception {
            mEngine.faults().add(Fault.of(Kind.BREAK_STREAM).withAfter(1));
            assertThatThrownBy(() -> stream("c1")).isInstanceOf(IOException.class);
            final int port = mEngine.port();
            mEngine.crash(Duration.ofSeconds(1));
            // The other client may still hold a connection that the crash is closing.
            final TestClient newClient = new TestClient(mEngine);
            assertThatThrownBy(() -> newClient.send("POST", "/v1/streams", body("c2", PROMPT)))
                    .isInstanceOf(ConnectException.class);
            assertThatThrownBy(() -> stream("c3"))
                    .isInstanceOf(IOException.class)
                    .isNotInstanceOf(HttpTimeoutException.class);
            assertThat(retryUntilRestarted("/v1/load").statusCode()).isEqualTo(200);
            assertThat(mEngine.port()).isEqualTo(port);
            assertThat(mClient.send("POST", "/v1/streams/c1/resume", "{\"from\":0}").statusCode())
                    .isEqualTo(404);
        }

        /** Guards against a prompt that crashes the engine once but not when it is sent again. */
        @Test
        void crashOnAPromptRepeats() throws Exception {
            mEngine.faults().add(Fault.of(Kind.CRASH_ON).withText("poison").withMillis(50));
            for (int i = 0; i < 2; i++) {
                final String body = body("p" + i, "poison");
                assertThatThrownBy(() -> mClient.send("POST", "/v1/streams", body))
                        .isInstanceOf(IOException.class);
                assertThat(retryUntilRestarted("/v1/load").statusCode()).isEqualTo(200);
            }
        }

        private HttpResponse<String> retryUntilRestarted(final String path) throws Exception {
            for (int i = 0; i < 400; i++) {
                try {
                    return mClient.send("GET", path, "");
                } catch (final IOException e) {
                    Thread.sleep(25);
                }
            }
            throw new IOException("the engine did not restart");
        }
    }

    @Nested
    class Orders {
        private int order(final TestClient client, final String version, final int fence)
                throws Exception {
            return client.send(
                            "POST",
                            "/v1/orders",
                            "{\"kind\":\"load\",\"model\":\"m\",\"version\":\""
                                    + version
                                    + "\",\"fence\":"
                                    + fence
                                    + "}")
                    .statusCode();
        }

        @Test
        void withAnOldFencingNumberAreRefused() throws Exception {
            assertThat(order(mClient, "2", 5)).isEqualTo(200);
            assertThat(order(mClient, "2", 5)).isEqualTo(200);
            assertThat(order(mClient, "1", 4)).isEqualTo(409);
            final JsonNode load = mJson.readTree(mClient.send("GET", "/v1/load", "").body());
            assertThat(load.path("fence").asLong()).isEqualTo(5);
            assertThat(load.path("modelVersion").asText()).isEqualTo("2");
            assertThat(mEngine.stats().modelLoads()).isEqualTo(1);
            assertThat(stream("o1").statusCode()).isEqualTo(409);
        }

        @Test
        void areAppliedByAnEngineThatIgnoresTheFencingNumber() throws Exception {
            try (FakeEngine other =
                    new FakeEngine(EngineSettings.of("e2", "g2", 4, "m", "1", false), 0)) {
                other.start();
                final TestClient client = new TestClient(other);
                assertThat(order(client, "2", 5)).isEqualTo(200);
                assertThat(order(client, "1", 4)).isEqualTo(200);
                assertThat(client.send("GET", "/v1/load", "").body()).contains("\"fence\":4");
            }
        }
    }
}
