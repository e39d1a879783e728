package io.persimmonreel.proof;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Checks that each scenario that is excluded by the tag @known-red is in KNOWN-RED.txt. */
class KnownRedTest {
    private static final Path FEATURES = Path.of("src/test/resources/features");
    private static final Path KNOWN_RED = Path.of("../KNOWN-RED.txt");

    @Test
    void printsExcludedScenariosAndFindsThemListed() throws IOException {
        final List<String> names = excludedScenarios();
        names.forEach(name -> System.out.println("known red, not run: " + name));
        final String listed = Files.exists(KNOWN_RED) ? Files.readString(KNOWN_RED) : "";
        assertThat(names).allMatch(listed::contains);
    }

    private static List<String> excludedScenarios() throws IOException {
        final List<String> names = new ArrayList<>();
        try (Stream<Path> files = Files.list(FEATURES)) {
            for (final Path file : files.sorted().toList()) {
                boolean tagged = false;
                for (final String line : Files.readAllLines(file)) {
                    tagged |= line.contains("@known-red");
                    if (tagged && line.trim().startsWith("Scenario")) {
                        names.add(line.trim());
                        tagged = false;
                    }
                }
            }
        }
        return names;
    }
}
