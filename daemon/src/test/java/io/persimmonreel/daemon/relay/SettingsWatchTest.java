package io.persimmonreel.daemon.relay;

import static org.assertj.core.api.Assertions.assertThat;

import io.persimmonreel.daemon.log.EventLog;
import io.persimmonreel.daemon.time.SystemTimeSource;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class SettingsWatchTest {
    private static final String TEXT =
            """
            {"name": "n", "zone": "z", "callerAddress": "127.0.0.1:1",
             "readinessAddress": "127.0.0.1:2", "peerAddress": "127.0.0.1:3",
             "metricsAddress": "127.0.0.1:4", "seeds": [], "directoryAddress": "127.0.0.1:6",
             "graceSeconds": 8, "drainMillis": 2000,
             "propagationMillis": 2000, "recoveryMillis": 3000, "retryRatio": 0.2, "retrySlack": 52,
             "quotaOvershoot": 0.25, "quotaTolerance": 0, "quotaWindowSeconds": 8}
            """;

    @TempDir private Path mFolder;

    /** A change is reported once, and a malformed or missing file changes nothing. */
    @Test
    void reportsEachChangeOnce() throws Exception {
        final Path file = Files.writeString(mFolder.resolve("settings.json"), TEXT);
        final List<RelaySettings> reported = new ArrayList<>();
        try (EventLog log =
                new EventLog(
                        "test",
                        new SystemTimeSource(),
                        new PrintStream(OutputStream.nullOutputStream()))) {
            final SettingsWatch watch = new SettingsWatch(file, log, reported::add);
            watch.check("signal");
            assertThat(reported).isEmpty();
            Files.writeString(file, TEXT.replace("0.2", "0.1"));
            watch.check("change");
            watch.check("change");
            assertThat(reported).singleElement().matches(s -> s.retryRatio() == 0.1);
            Files.writeString(file, "{");
            watch.check("change");
            Files.delete(file);
            watch.check("change");
            assertThat(reported).hasSize(1);
        }
    }
}
