package io.persimmonreel.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.StringReader;
import org.junit.jupiter.api.Test;

class LogStoryTest {
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

    private static LogStory story(final String request) throws IOException {
        final LogStory story = new LogStory(request);
        story.read(new BufferedReader(new StringReader(LOG)));
        return story;
    }

    /** The cause of a failure is often on another line than the request's own ones. */
    @Test
    void tellsWhatWasBelievedOfTheReplicas() throws IOException {
        assertThat(story("x").sentences())
                .containsExactly(
                        "1970-01-01T00:00:01Z a: request sent, replica r1",
                        "1970-01-01T00:00:02Z b: replica crashed, replica r1, own requests 2",
                        "1970-01-01T00:00:02.100Z a: request failed, status 502");
    }

    @Test
    void isEmptyForAnUnknownRequest() throws IOException {
        assertThat(story("z").isEmpty()).isTrue();
        assertThat(story("z").json()).isEmpty();
    }

    @Test
    void keepsLinesAsTheyWereWritten() throws IOException {
        assertThat(story("y").json()).hasSize(1).first().asString().contains("\"ts\":1500");
    }
}
