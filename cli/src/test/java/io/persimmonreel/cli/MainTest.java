package io.persimmonreel.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.UUID;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class MainTest {
    private final ByteArrayOutputStream mOut = new ByteArrayOutputStream();
    private final ByteArrayOutputStream mErr = new ByteArrayOutputStream();

    private int run(final Map<String, String> environment, final String... arguments) {
        return new Main(environment)
                .run(
                        arguments,
                        new PrintStream(mOut, true, StandardCharsets.UTF_8),
                        new PrintStream(mErr, true, StandardCharsets.UTF_8));
    }

    @Nested
    class ExitCode {
        /** Guards against scripts that retry after bad input, which fails again. */
        @ParameterizedTest
        @ValueSource(
                strings = {
                    "",
                    "nosuch",
                    "send",
                    "send --service s --prompt p --body b",
                    "send --service s --prompt p --max-output-tokens many",
                    "send --service s --prompt p --rate -1",
                    "send --service s --prompt p --entry nowhere",
                    "explain r1/../state",
                    "experiment nosuch",
                    "daemon --slot 0",
                    "explain r1 --operators http://[",
                })
        void isTwoOnBadInput(final String line) {
            assertThat(run(Map.of(), line.isEmpty() ? new String[0] : line.split(" ")))
                    .isEqualTo(2);
            assertThat(mErr.toString(StandardCharsets.UTF_8)).isNotEmpty();
        }

        @Test
        void isOneIfNoHostAnswers() {
            // Port 1 of the loopback address has no listener.
            final String entry = "http://127.0.0.1:1";
            assertThat(run(Map.of(), "send", "--entry", entry, "--service", "s", "--body", "{}"))
                    .isEqualTo(1);
            assertThat(mErr.toString(StandardCharsets.UTF_8)).contains("not-run connect");
        }

        @Test
        void isOneIfAFileIsMissing() {
            assertThat(run(Map.of(), "fakes", "nosuch.yaml")).isEqualTo(1);
            assertThat(mErr.toString(StandardCharsets.UTF_8))
                    .isEqualToIgnoringNewLines("persimmonreel: NoSuchFileException: nosuch.yaml");
        }

        @Test
        void isZeroOnSuccess() {
            assertThat(run(Map.of(), "version")).isZero();
            assertThat(mOut.toString(StandardCharsets.UTF_8)).startsWith("persimmonreel");
        }
    }

    @Nested
    class EnvironmentVariables {
        @Test
        void setFlagsThatAreNotGiven() {
            final Map<String, String> environment =
                    Map.of("PERSIMMONREEL_MAX_OUTPUT_TOKENS", "many");
            assertThat(run(environment, "send", "--service", "s", "--prompt", "p")).isEqualTo(2);
            assertThat(mErr.toString(StandardCharsets.UTF_8)).contains("'many' is not a number");
        }
    }

    @Nested
    class GeneratedKeys {
        /** Guards against keys from which daemons can't read the time of creation. */
        @Test
        void containTheirTime() {
            final UUID key =
                    UUID.fromString(new IdempotencyKeyGenerator().next(1_700_000_000_123L));
            assertThat(key.version()).isEqualTo(7);
            assertThat(key.variant()).isEqualTo(2);
            assertThat(key.getMostSignificantBits() >>> 16).isEqualTo(1_700_000_000_123L);
        }
    }
}
