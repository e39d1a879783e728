package io.persimmonreel.cli;

import static org.assertj.core.api.Assertions.assertThat;

import io.persimmonreel.core.config.ConfigurationLimits;
import io.persimmonreel.core.config.ExampleTexts;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class ConfigurationFileCheckerTest {
    private final ByteArrayOutputStream mOut = new ByteArrayOutputStream();
    private final ByteArrayOutputStream mErr = new ByteArrayOutputStream();

    @TempDir private Path mDirectory;

    private int check(final byte[] bytes) throws IOException {
        final Path file = mDirectory.resolve("fleet.yaml");
        Files.write(file, bytes);
        return check(file);
    }

    private int check(final Path file) {
        return new ConfigurationFileChecker()
                .run(
                        file,
                        new PrintStream(mOut, true, StandardCharsets.UTF_8),
                        new PrintStream(mErr, true, StandardCharsets.UTF_8));
    }

    /** Guards against errors in settings that would only be noticed when a relay fails to start. */
    @Nested
    class SettingsFiles {
        private static final String VALID =
                "{\"name\":\"a\",\"zone\":\"z\",\"callerAddress\":\"127.0.0.1:1\","
                        + "\"readinessAddress\":\"127.0.0.1:2\",\"peerAddress\":\"127.0.0.1:3\","
                        + "\"metricsAddress\":\"127.0.0.1:4\",\"seeds\":[\"127.0.0.1:3\"],"
                        + "\"directoryAddress\":\"127.0.0.1:5\",\"graceSeconds\":8,"
                        + "\"drainMillis\":2000,\"propagationMillis\":2000,"
                        + "\"recoveryMillis\":3000,\"retryRatio\":0.2,\"retrySlack\":50,"
                        + "\"quotaOvershoot\":0.25,\"quotaTolerance\":1000,"
                        + "\"quotaWindowSeconds\":8}";

        private int checkSettings(final String text) throws IOException {
            final Path file = mDirectory.resolve("relay.json");
            Files.writeString(file, text);
            return check(file);
        }

        @Test
        void areAcceptedIfValid() throws IOException {
            assertThat(checkSettings(VALID)).isZero();
            assertThat(mOut.toString(StandardCharsets.UTF_8)).contains("relay a in zone z");
        }

        @Test
        void areRejectedWithTheInvalidField() throws IOException {
            assertThat(checkSettings(VALID.replace("127.0.0.1:5", "nowhere"))).isEqualTo(2);
            assertThat(checkSettings(VALID.replace("\"retryRatio\":0.2,", ""))).isEqualTo(2);
            assertThat(checkSettings("[")).isEqualTo(2);
            assertThat(mErr.toString(StandardCharsets.UTF_8))
                    .contains("directoryAddress", "retryRatio");
        }
    }

    @Nested
    class ExitCode {
        @Test
        void isZeroForExamples() throws IOException {
            for (final String name : ExampleTexts.NAMES) {
                assertThat(check(ExampleTexts.load(name).getBytes(StandardCharsets.UTF_8)))
                        .isZero();
            }
            assertThat(mOut.toString(StandardCharsets.UTF_8)).contains("5 customers");
            assertThat(mErr.size()).isZero();
        }

        @Test
        void isTwoForFindings() throws IOException {
            final String text =
                    ExampleTexts.load("saaf-paws")
                            .replace("maximumDaemons: 7", "maximumDaemons: 0")
                            .replace("kind: plain", "kind: other");
            assertThat(check(text.getBytes(StandardCharsets.UTF_8))).isEqualTo(2);
            assertThat(mErr.toString(StandardCharsets.UTF_8).lines())
                    .anyMatch(
                            line ->
                                    line.endsWith(
                                            "fleet.yaml:5: fleet.maximumDaemons: must be from 1 to"
                                                    + " 1000"))
                    .anyMatch(
                            line -> line.contains(": upstreams[1].kind: must be engine or plain"));
        }

        @Test
        void isTwoForOversizedOrUndecodableFiles() throws IOException {
            assertThat(check(new byte[ConfigurationLimits.MAXIMUM_TEXT_BYTES + 5])).isEqualTo(2);
            assertThat(check(new byte[] {'a', (byte) 0xff})).isEqualTo(2);
            assertThat(mErr.toString(StandardCharsets.UTF_8))
                    .contains("is larger than 1048576 bytes", "is not UTF-8");
        }

        @Test
        void isTwoForAMissingFile() {
            assertThat(check(mDirectory.resolve("none.yaml"))).isEqualTo(2);
            assertThat(mErr.toString(StandardCharsets.UTF_8)).contains("can't read");
        }
    }
}
