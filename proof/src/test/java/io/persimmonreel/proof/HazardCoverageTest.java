package io.persimmonreel.proof;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.MatchResult;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Checks that the features name each hazard of the design page and only unit tests that exist. */
class HazardCoverageTest {
    private static final int HAZARDS = 30;
    private static final Path FEATURES = Path.of("src/test/resources/features");
    private static final Path CORE_TESTS = Path.of("../core/src/test/java");
    private static final Pattern TAG = Pattern.compile("@h(\\d+)");
    private static final Pattern UNIT_TEST = Pattern.compile("# @h\\d+ (\\w+)\\.(\\w+)");

    @Test
    void findsATagForEveryHazard() throws IOException {
        final Set<Integer> covered =
                TAG.matcher(featureTexts())
                        .results()
                        .map(match -> Integer.valueOf(match.group(1)))
                        .collect(Collectors.toCollection(TreeSet::new));
        assertThat(covered).containsAll(IntStream.rangeClosed(1, HAZARDS).boxed().toList());
    }

    @Test
    void findsTheUnitTestsThatFeaturesName() throws IOException {
        for (final MatchResult test : UNIT_TEST.matcher(featureTexts()).results().toList()) {
            try (Stream<Path> files = Files.walk(CORE_TESTS)) {
                final Path file =
                        files.filter(f -> f.endsWith(test.group(1) + ".java"))
                                .findFirst()
                                .orElseThrow();
                assertThat(Files.readString(file)).contains("class " + test.group(2) + " ");
            }
        }
    }

    private static String featureTexts() throws IOException {
        final StringBuilder text = new StringBuilder();
        try (Stream<Path> files = Files.list(FEATURES)) {
            for (final Path file : files.toList()) {
                text.append(Files.readString(file));
            }
        }
        return text.toString();
    }
}
