package io.persimmonreel.daemon.operator;

import static org.assertj.core.api.Assertions.assertThat;

import io.persimmonreel.core.explain.DecisionRecord;
import io.persimmonreel.core.request.Outcome;
import io.persimmonreel.core.request.Step;
import io.persimmonreel.core.service.ServiceSpec;
import io.persimmonreel.core.service.Tier;
import io.persimmonreel.daemon.request.RequestSummary;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests the operator resources over HTTP. */
class OperatorServerTest {
    private final DaemonMetrics mMetrics = new DaemonMetrics();
    private volatile List<String> mWaitingFor = List.of("peers");
    private OperatorServer mServer;

    @BeforeEach
    void start() throws Exception {
        mServer =
                new OperatorServer(
                        new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                        new OperatorParts(
                                mMetrics,
                                () -> mWaitingFor,
                                () -> Map.of("configVersion", 3),
                                id -> CompletableFuture.completedFuture(records(id)),
                                () -> Map.of("services", List.of())));
    }

    @AfterEach
    void stop() throws Exception {
        mServer.close();
    }

    private static List<DecisionRecord> records(final String id) {
        return "q1".equals(id)
                ? List.of(new DecisionRecord(5, id, Step.ROUTE, "routed", "r1", "least backlog"))
                : List.of();
    }

    private HttpResponse<String> fetch(final String path) throws Exception {
        return HttpClient.newHttpClient()
                .send(
                        HttpRequest.newBuilder(
                                        URI.create("http://127.0.0.1:" + mServer.port() + path))
                                .timeout(Duration.ofSeconds(20))
                                .build(),
                        HttpResponse.BodyHandlers.ofString());
    }

    @Nested
    class Health {
        @Test
        void readinessListsWhatTheDaemonWaitsFor() throws Exception {
            assertThat(fetch("/health/live").statusCode()).isEqualTo(200);
            assertThat(fetch("/health/ready").statusCode()).isEqualTo(503);
            assertThat(fetch("/health/ready").body()).contains("peers");
            mWaitingFor = List.of();
            assertThat(fetch("/health/ready").statusCode()).isEqualTo(200);
        }
    }

    @Nested
    class Documents {
        @Test
        void stateReportAndRecordsAreJson() throws Exception {
            assertThat(fetch("/v1/state").body()).isEqualTo("{\"configVersion\":3}");
            assertThat(fetch("/v1/report").body()).isEqualTo("{\"services\":[]}");
            assertThat(fetch("/v1/explain/q1").body()).contains("least backlog");
            assertThat(fetch("/v1/explain/q2").statusCode()).isEqualTo(404);
        }
    }

    @Nested
    class Metrics {
        /** Guards against labels with unbounded values, such as request ids or customers. */
        @Test
        void labelsHaveBoundedValues() throws Exception {
            final ServiceSpec service =
                    new ServiceSpec(
                            "draft",
                            "engines",
                            Tier.BULK,
                            true,
                            List.of(),
                            Duration.ofSeconds(9),
                            1,
                            1,
                            null);
            mMetrics.gauge("persimmonreel_in_progress", "Requests in progress", () -> 4);
            mMetrics.onFinished(
                    new RequestSummary(
                            "q1",
                            "c1",
                            service,
                            Tier.BULK,
                            false,
                            true,
                            Outcome.RAN,
                            200,
                            1_000,
                            2_000,
                            7,
                            11,
                            9));
            final String text = fetch("/metrics").body();
            assertThat(text)
                    .contains(
                            "persimmonreel_requests_total{outcome=\"ran\",service=\"draft\","
                                    + "tier=\"bulk\",upstream=\"engines\"} 1.0")
                    .contains("persimmonreel_in_progress 4.0")
                    .doesNotContain("q1")
                    .doesNotContain("c1");
        }
    }
}
