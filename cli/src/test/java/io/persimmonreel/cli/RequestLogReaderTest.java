package io.persimmonreel.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.StringReader;
import org.junit.jupiter.api.Test;

class RequestLogReaderTest {
    private static final String LOG =
            String.join(
                    "\n",
                    "{\"ts\":2000,\"node\":\"b\",\"part\":\"replica\",\"event\":\"crashed\","
                            + "\"replica\":\"r1\",\"own_requests\":2}",
                    "{\"ts\":1000,\"node\":\"a\",\"part\":\"request\",\"event\":\"sent\","
                            + "\"id\":\"x\",\"replica\":\"r1\"}",
                    "no JSON",
                    "-3.1 a {\"ts\":2100,\"node\":\"a\",\"part\":\"request\",\"event\":\"failed\","
                            + "\"id\":\"x\",\"status\":502}",
                    "{\"ts\":1500,\"node\":\"a\",\"part\":\"request\",\"event\":\"sent\","
                            + "\"id\":\"y\",\"replica\":\"r2\"}",
                    "{\"ts\":90000,\"node\":\"a\",\"part\":\"replica\",\"event\":\"removed\","
                            + "\"replica\":\"r1\"}");

    private static RequestLogReader readLog(final String requestId) throws IOException {
        final RequestLogReader logReader = new RequestLogReader(requestId);
        logReader.read(new BufferedReader(new StringReader(LOG)));
        return logReader;
    }

    /** Guards against leaving out the cause of a failure, which is often logged for the replica. */
    @Test
    void includesTheEventsOfItsReplicas() throws IOException {
        assertThat(readLog("x").sentences())
                .containsExactly(
                        "1970-01-01T00:00:01Z a: request sent, replica r1",
                        "1970-01-01T00:00:02Z b: replica crashed, replica r1, own requests 2",
                        "1970-01-01T00:00:02.100Z a: request failed, status 502");
    }

    @Test
    void isEmptyForAnUnknownRequest() throws IOException {
        assertThat(readLog("z").isEmpty()).isTrue();
        assertThat(readLog("z").json()).isEmpty();
    }

    @Test
    void returnsLinesAsJson() throws IOException {
        assertThat(readLog("y").json()).hasSize(1).first().asString().contains("\"ts\":1500");
    }
}
