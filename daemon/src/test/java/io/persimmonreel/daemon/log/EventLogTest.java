package io.persimmonreel.daemon.log;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.persimmonreel.core.time.TimeSource;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;

class EventLogTest {
    private final ByteArrayOutputStream mOut = new ByteArrayOutputStream();

    /** Returns a fixed time, so that all lines are written within one second. */
    private static final class FixedTime implements TimeSource {
        @Override
        public long monotonicNanos() {
            return 5_000_000_000L;
        }

        @Override
        public long wallMillis() {
            return 42;
        }
    }

    private String[] lines() {
        return mOut.toString(StandardCharsets.UTF_8).split("\n");
    }

    @Test
    void writesOneJsonObjectALine() throws IOException {
        try (EventLog log = new EventLog("n1", new FixedTime(), new PrintStream(mOut))) {
            log.event("request", "refused")
                    .put("id", "a\"b\\c\nd")
                    .put("status", 503)
                    .put("done", true)
                    .put("none", null)
                    .write();
        }
        final JsonNode line = new ObjectMapper().readTree(lines()[0]);
        assertThat(line.get("ts").asLong()).isEqualTo(42);
        assertThat(line.get("node").asText()).isEqualTo("n1");
        assertThat(line.get("id").asText()).isEqualTo("a\"b\\c d");
        assertThat(line.get("status").asInt()).isEqualTo(503);
        assertThat(line.has("none")).isFalse();
    }

    /** Routine lines are limited by rate, and the next line has the count of those left out. */
    @Test
    void limitsRoutineLinesAndCountsTheRest() {
        try (EventLog log = new EventLog("n1", new FixedTime(), new PrintStream(mOut))) {
            for (int i = 0; i < 500; i++) {
                log.routine("request", "sent").put("i", i).write();
            }
            log.event("request", "failed").write();
        }
        assertThat(lines()).hasSize(201);
        assertThat(lines()[200]).contains("\"event\":\"failed\"", "\"suppressed\":300");
    }

    /** Threads that log never wait for an output stream that blocks. */
    @Test
    void neverBlocksAndCountsDroppedLines() throws InterruptedException {
        final CountDownLatch unblocked = new CountDownLatch(1);
        final OutputStream blocking =
                new OutputStream() {
                    @Override
                    public void write(final int value) throws IOException {
                        try {
                            unblocked.await();
                        } catch (final InterruptedException e) {
                            throw new IOException(e);
                        }
                        mOut.write(value);
                    }
                };
        final EventLog log = new EventLog("n1", new FixedTime(), new PrintStream(blocking));
        for (int i = 0; i < 20_000; i++) {
            log.event("request", "failed").put("i", i).write();
        }
        unblocked.countDown();
        log.event("request", "last").write();
        log.close();
        assertThat(mOut.size()).isLessThan(20_000 * 60);
    }
}
