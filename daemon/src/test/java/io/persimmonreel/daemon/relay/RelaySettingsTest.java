package io.persimmonreel.daemon.relay;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.persimmonreel.daemon.settings.SettingsException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class RelaySettingsTest {
    private static final String TEXT =
            """
            {"name": "n", "zone": "z", "callerAddress": "127.0.0.1:1",
             "readinessAddress": "127.0.0.1:2", "peerAddress": "127.0.0.1:3",
             "metricsAddress": "127.0.0.1:4", "seeds": ["127.0.0.1:5"],
             "directoryAddress": "127.0.0.1:6", "graceSeconds": 8, "drainMillis": 2000,
             "propagationMillis": 1500, "recoveryMillis": 2500,
             "retryRatio": 0.2, "retrySlack": 52, "quotaOvershoot": 0.25,
             "quotaTolerance": 140000, "quotaWindowSeconds": 8, "more": 1}
            """;

    @TempDir private Path mFolder;

    private RelaySettings read(final String text) throws IOException, SettingsException {
        return RelaySettings.read(Files.writeString(mFolder.resolve("settings.json"), text));
    }

    /** Unknown fields are ignored, since later versions may add some. */
    @Test
    void readsAllFields() throws Exception {
        final RelaySettings settings = read(TEXT);
        assertThat(settings.callerAddress().getPort()).isEqualTo(1);
        assertThat(settings.seeds()).hasSize(1);
        assertThat(settings.grace()).hasSeconds(8);
        assertThat(settings.retryRatio()).isEqualTo(0.2);
    }

    @Test
    void takesTheShorterBoundOfReplicasAndConfiguration() throws Exception {
        assertThat(read(TEXT).propagation()).hasMillis(1_500);
        assertThat(read(TEXT).recovery()).hasMillis(2_500);
        assertThat(read(TEXT.replace("2000", "1000")).propagation()).hasMillis(1_000);
    }

    /** An evacuation is a change of the directory, so its bound also limits calls to it. */
    @Test
    void readsTheBoundOfEvacuations() throws Exception {
        assertThat(read(TEXT).evacuation()).isEmpty();
        final RelaySettings settings =
                read(TEXT.replace("\"more\": 1", "\"evacuateMillis\": 1200"));
        assertThat(settings.evacuation()).hasValue(Duration.ofMillis(1_200));
        assertThat(settings.propagation()).hasMillis(1_200);
        final RelaySettings longer = read(TEXT.replace("\"more\": 1", "\"evacuateMillis\": 5000"));
        assertThat(longer.propagation()).hasMillis(1_500);
    }

    @Test
    void derivesBoundsThatAreAbsent() throws Exception {
        final RelaySettings settings =
                read(TEXT.replace("\"propagationMillis\": 1500,", "").replace("2500", "null"));
        assertThat(settings.propagation()).hasMillis(2_000);
        assertThat(settings.recovery()).hasMillis(3_000);
    }

    @Test
    void readsTheLimitsOfWaitingRequests() throws Exception {
        assertThat(read(TEXT).heldLimits()).isEqualTo(HeldLimits.STANDARD);
        assertThat(
                        read(TEXT.replace(
                                        "\"more\": 1", "\"heldRequests\": 7, \"heldBodyBytes\": 9"))
                                .heldLimits())
                .isEqualTo(new HeldLimits(7, 9));
    }

    @Test
    void namesTheInvalidField() {
        assertThatThrownBy(() -> read(TEXT.replace("127.0.0.1:3", "nowhere")))
                .isInstanceOf(SettingsException.class)
                .hasMessageContaining("peerAddress");
        assertThatThrownBy(() -> read(TEXT.replace("\"graceSeconds\": 8", "\"graceSeconds\": -1")))
                .hasMessageContaining("graceSeconds");
        assertThatThrownBy(() -> read(TEXT.replace("\"zone\": \"z\",", "")))
                .hasMessageContaining("zone");
        assertThatThrownBy(() -> read("[]")).hasMessageContaining("not a JSON object");
        assertThatThrownBy(() -> read("{")).isInstanceOf(SettingsException.class);
    }

    @Test
    void reportsAMissingFile() {
        assertThatThrownBy(() -> RelaySettings.read(mFolder.resolve("none")))
                .isInstanceOf(SettingsException.class)
                .hasMessageContaining("none");
    }
}
