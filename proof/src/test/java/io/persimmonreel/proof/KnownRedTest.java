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

    private static final Path MODULES = Path.of("..");
    private static final Path TESTS = Path.of("src/test/java");

    private static final Pattern SCENARIO = Pattern.compile("\\s*(Scenario.*?)\\s*");
    private static final Pattern TEST_METHOD = Pattern.compile("\\s+(?:public )?void (\\w+)\\(.*");

    @Test
    void printsExcludedScenariosAndFindsThemListed() throws IOException {
        final List<String> names = new ArrayList<>();
        try (Stream<Path> files = Files.list(FEATURES)) {
            for (final Path file : files.sorted().toList()) {
                names.addAll(tagged(file, "@known-red", SCENARIO));
            }
        }
        checkListed(names);
    }

    /** Checks the tests of all modules, by class and method. */
    @Test
    void printsExcludedTestsAndFindsThemListed() throws IOException {
        final List<String> names = new ArrayList<>();
        for (final Path file : testClasses()) {
            final String testClass = file.getFileName().toString().replace(".java", "");
            tagged(file, "@Tag(\"known-red\")", TEST_METHOD)
                    .forEach(method -> names.add(testClass + "." + method));
        }
        checkListed(names);
    }

    private static void checkListed(final List<String> names) throws IOException {
        names.forEach(name -> System.out.println("known red, not run: " + name));
        final String listed = Files.exists(KNOWN_RED) ? Files.readString(KNOWN_RED) : "";
        assertThat(names).allMatch(listed::contains);
    }

    private static List<Path> testClasses() throws IOException {
        final List<Path> classes = new ArrayList<>();
        try (Stream<Path> modules = Files.list(MODULES)) {
            for (final Path tests : modules.map(m -> m.resolve(TESTS)).sorted().toList()) {
                if (Files.isDirectory(tests)) {
                    try (Stream<Path> files = Files.walk(tests)) {
                        files.filter(f -> f.toString().endsWith("Test.java"))
                                .sorted()
                                .forEach(classes::add);
                    }
                }
            }
        }
        return classes;
    }

    /** Returns the first match of a pattern after each line with a tag. */
    private static List<String> tagged(final Path file, final String tag, final Pattern pattern)
            throws IOException {
        final List<String> names = new ArrayList<>();
        boolean tagged = false;
        for (final String line : Files.readAllLines(file)) {
            tagged |= line.contains(tag);
            final Matcher name = pattern.matcher(line);
            if (tagged && name.matches()) {
                names.add(name.group(1));
                tagged = false;
            }
        }
        return names;
    }
}
