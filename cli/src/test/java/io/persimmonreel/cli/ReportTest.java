package io.persimmonreel.cli;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.sun.net.httpserver.HttpServer;
import io.persimmonreel.core.explain.DecisionRecord;
import io.persimmonreel.core.request.Step;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.assertj.core.data.Offset;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class ReportTest {
    private static final String REPORT =
            "{\"daemons\":1,\"services\":[{\"service\":\"charge\",\"tier\":\"URGENT\","
                    + "\"target\":0.9,\"total\":{\"offered\":100,\"good\":80},"
                    + "\"windows\":{\"FIVE_MINUTES\":{\"offered\":10,\"good\":9}}}],"
                    + "\"prefill\":{\"tokens\":200,\"wastedTokens\":4}}";

    private final ByteArrayOutputStream mOut = new ByteArrayOutputStream();
    private final ByteArrayOutputStream mErr = new ByteArrayOutputStream();
    private HttpServer mServer;
    private String mAnswer = REPORT;

    @BeforeEach
    void start() throws IOException {
        mServer = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
        mServer.createContext(
                "/",
                exchange -> {
                    final byte[] body = mAnswer.getBytes(StandardCharsets.UTF_8);
                    exchange.sendResponseHeaders(200, body.length);
                    exchange.getResponseBody().write(body);
                    exchange.close();
                });
        mServer.start();
    }

    @AfterEach
    void stop() {
        mServer.stop(0);
    }

    private int run(final String... arguments) {
        return new Main(Map.of())
                .run(
                        arguments,
                        new PrintStream(mOut, true, StandardCharsets.UTF_8),
                        new PrintStream(mErr, true, StandardCharsets.UTF_8));
    }

    private String address() {
        return "127.0.0.1:" + mServer.getAddress().getPort();
    }

    @Nested
    class Reports {
        /** Guards against counting several daemons as one, and against dropping their counts. */
        @Test
        void addUpTheCountsOfDaemons() throws IOException {
            // Two addresses of the same server stand for two daemons.
            final String both = address() + ",http://" + address();
            assertThat(run("report", "--operators", both, "--json")).isZero();
            final JsonNode json = new ObjectMapper().readTree(mOut.toByteArray());
            final JsonNode service = json.path("services").path(0);
            assertThat(json.path("daemons").asInt()).isEqualTo(2);
            assertThat(service.path("offered").asInt()).isEqualTo(200);
            assertThat(service.path("budgetSpent").asDouble()).isCloseTo(2.0, tolerance());
            assertThat(service.path("burn").path("5m").asDouble()).isCloseTo(1.0, tolerance());
            assertThat(json.path("prefill").path("wastedShare").asDouble()).isEqualTo(0.02);
        }

        /** Guards against a report that looks complete although a daemon did not answer. */
        @Test
        void failIfADaemonDoesNotAnswer() {
            assertThat(run("report", "--operators", address() + ",127.0.0.1:1")).isEqualTo(1);
            assertThat(mOut.toString(StandardCharsets.UTF_8)).contains("charge", "daemons 1");
            assertThat(mErr.toString(StandardCharsets.UTF_8)).contains("127.0.0.1:1");
        }

        @Test
        void areWrittenAsHtmlWithPlots(@TempDir final Path directory) throws IOException {
            final Path file = directory.resolve("report.html");
            assertThat(run("report", "--operators", address(), "--html", file.toString())).isZero();
            assertThat(Files.readString(file)).contains("data:image/png;base64,iVBOR", "charge");
        }

        @Test
        void areBadInputIfMalformed() {
            mAnswer = "{\"services\":[{\"tier\":\"first\"}]}";
            assertThat(run("report", "--operators", address())).isEqualTo(2);
        }

        private Offset<Double> tolerance() {
            return Offset.offset(1e-9);
        }
    }

    @Nested
    class Explanations {
        /** Guards against printing a record twice because several daemons hold it. */
        @Test
        void printEachRecordOnceInOrderOfTime() throws Exception {
            final List<DecisionRecord> records =
                    List.of(
                            new DecisionRecord(9, "r1", Step.ROUTE, "chose", "a-1", "it is idle"),
                            new DecisionRecord(5, "r1", Step.QUEUE, "waits", "", ""));
            mAnswer = new ObjectMapper().writeValueAsString(Map.of("records", records));
            assertThat(run("explain", "r1", "--operators", address() + ",http://" + address()))
                    .isZero();
            assertThat(mOut.toString(StandardCharsets.UTF_8).lines())
                    .hasSize(2)
                    .last()
                    .asString()
                    .endsWith("route: chose a-1 (it is idle).");
        }
    }
}
