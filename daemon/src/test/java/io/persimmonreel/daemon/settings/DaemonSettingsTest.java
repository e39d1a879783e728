package io.persimmonreel.daemon.settings;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests the reading of settings and the format of log lines. */
class DaemonSettingsTest {
    private final Map<String, String> mEnvironment = new HashMap<>();
    private final List<String> mFlags =
            new ArrayList<>(
                    List.of(
                            "--caller-address=127.0.0.1:8080",
                            "--peer-address=127.0.0.1:9000",
                            "--slot=2",
                            "--zone=lahore",
                            "--platform-address=127.0.0.1:9300"));

    DaemonSettingsTest() {
        mEnvironment.put("PERSIMMONREEL_FLEET_SECRET", "0123456789abcdef");
    }

    private DaemonSettings parse() throws SettingsException {
        return DaemonSettings.parse(mFlags.toArray(String[]::new), mEnvironment);
    }

    private SettingsException parseFailure() {
        return catchThrowableOfType(SettingsException.class, this::parse);
    }

    @Nested
    class ValidSettings {
        @Test
        void flagsPrecedeVariablesAndVariablesPrecedeDefaults() throws Exception {
            mEnvironment.put("PERSIMMONREEL_SLOT", "9");
            mEnvironment.put("PERSIMMONREEL_PEERS", "127.0.0.1:9001,127.0.0.1:9002");
            mEnvironment.put("PERSIMMONREEL_LOG_FORMAT", "json");
            final DaemonSettings settings = parse();
            assertThat(settings.slot()).isEqualTo(2);
            assertThat(settings.peers()).hasSize(2);
            assertThat(settings.logFormat()).isEqualTo(LogFormat.JSON);
            assertThat(settings.operatorAddress().getAddress().isLoopbackAddress()).isTrue();
            assertThat(settings.drain()).hasSeconds(600);
            assertThat(settings.toString()).doesNotContain("0123456789abcdef");
        }
    }

    @Nested
    class InvalidSettings {
        @Test
        void theExceptionNamesTheFlag() {
            mFlags.set(2, "--slot=0");
            assertThat(parseFailure().field()).isEqualTo("--slot");
            mFlags.set(2, "--slot=1");
            mFlags.set(0, "--caller-address=localhost:8080");
            assertThat(parseFailure())
                    .hasMessage(
                            "settings: --caller-address: is not ip:port with a numeric IP address");
            mFlags.set(0, "--caller-address=127.0.0.1:99999");
            assertThat(parseFailure().field()).isEqualTo("--caller-address");
            mFlags.set(0, "--zone=karachi");
            assertThat(parseFailure()).hasMessage("settings: --caller-address: is missing");
        }

        /** Guards against serving callers without TLS because one of the two files is not set. */
        @Test
        void certificateWithoutKeyIsRefused() {
            mFlags.add("--tls-certificate=c.pem");
            assertThat(parseFailure().field()).isEqualTo("--tls-key");
        }

        @Test
        void shortSecretIsRefused() {
            mEnvironment.put("PERSIMMONREEL_FLEET_SECRET", "short");
            assertThat(parseFailure().field()).isEqualTo("--fleet-secret-file");
        }
    }

    @Nested
    class LogLines {
        /** Guards against a message that forges a second log line. */
        @Test
        void lineBreaksInAMessageDoNotStartALine() throws Exception {
            final LogRecord record = new LogRecord(Level.INFO, "http: first\nsecond");
            final String text = new LogLineFormatter(LogFormat.TEXT).format(record);
            assertThat(text).endsWith("info http: first second\n");
            final String json = new LogLineFormatter(LogFormat.JSON).format(record);
            assertThat(json.indexOf('\n')).isEqualTo(json.length() - 1);
            final JsonNode line = new ObjectMapper().readTree(json);
            assertThat(line.get("component").asText()).isEqualTo("http");
            assertThat(line.get("message").asText()).isEqualTo("first\nsecond");
        }
    }
}
