package io.persimmonreel.proof;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Checks that each scenario or test that is excluded by the tag known-red is in KNOWN-RED.txt. */
class KnownRedTest {
    private static final Path FEATURES = Path.of("src/test/resources/features");
    private static final Path KNOWN_RED = Path.of("../KNOWN-RED.txt");

    private static final Pattern TEST_METHOD = Pattern.compile("\\s+(?:public )?void (\\w+)\\(.*");

    @Test
    void printsExcludedScenariosAndFindsThemListed() throws IOException {
        checkListed(excludedScenarios());
    }

    @Test
    void printsExcludedTestsAndFindsThemListed() throws IOException {
        checkListed(excludedTests());
    }

    private static void checkListed(final List<String> names) throws IOException {
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

    /** Returns the excluded tests of all modules, as class and method. */
    private static List<String> excludedTests() throws IOException {
        final List<String> names = new ArrayList<>();
        try (Stream<Path> files = Files.walk(Path.of(".."))) {
            for (final Path file :
                    files.filter(f -> f.toString().contains("/src/test/java/")).sorted().toList()) {
                final String fileName = file.getFileName().toString();
                if (!fileName.endsWith("Test.java")) {
                    continue;
                }
                boolean tagged = false;
                for (final String line : Files.readAllLines(file)) {
                    tagged |= line.contains("@Tag(\"known-red\")");
                    final Matcher method = TEST_METHOD.matcher(line);
                    if (tagged && method.matches()) {
                        names.add(fileName.replace(".java", "") + "." + method.group(1));
                        tagged = false;
                    }
                }
            }
        }
        return names;
    }
}
