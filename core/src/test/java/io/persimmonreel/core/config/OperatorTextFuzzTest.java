package io.persimmonreel.core.config;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/** Guards against texts on which the check hangs or fails other than with findings. */
class OperatorTextFuzzTest {
    private static final List<String> FRAGMENTS =
            List.of(
                    "&a ",
                    "*a",
                    "<<: ",
                    "? ",
                    "- ",
                    ": ",
                    "{",
                    "}",
                    "[",
                    "]",
                    "!!int ",
                    "%YAML ",
                    "---\n",
                    "...",
                    "\t",
                    "\"",
                    "'",
                    "|",
                    ">",
                    "\u0000",
                    "\ud800",
                    "\uFEFF",
                    "#",
                    "1e999999999",
                    "0x",
                    "-",
                    "9".repeat(400),
                    "~",
                    "\n",
                    "@",
                    "`",
                    ",",
                    "_1");

    private final OperatorTextParser mParser = new OperatorTextParser();

    @Property(seed = "20260401", tries = 1500)
    void mutatedExamplesAreAcceptedOrGiveFindings(
            @ForAll final long seed, @ForAll @IntRange(min = 1, max = 12) final int mutations)
            throws IOException {
        final Random random = new Random(seed);
        final StringBuilder text =
                new StringBuilder(ExampleTexts.load(ExampleTexts.NAMES.get(random.nextInt(2))));
        for (int i = 0; i < mutations; i++) {
            mutate(text, random);
        }
        final long start = System.nanoTime();
        try {
            assertThat(mParser.parse("fuzz", 1, text.toString()).services()).isNotEmpty();
        } catch (final ConfigurationException e) {
            assertThat(e.findings()).isNotEmpty().allMatch(f -> f.line() >= 1);
        }
        assertThat(System.nanoTime() - start).as("nanoseconds").isLessThan(5_000_000_000L);
    }

    private static void mutate(final StringBuilder text, final Random random) {
        final int at = random.nextInt(text.length());
        final int end = Math.min(text.length(), at + 1 + random.nextInt(40));
        switch (random.nextInt(5)) {
            case 0 -> text.insert(at, FRAGMENTS.get(random.nextInt(FRAGMENTS.size())));
            case 1 -> text.delete(at, Math.min(end, text.length() - 1));
            case 2 -> text.insert(random.nextInt(text.length()), text.substring(at, end));
            case 3 -> text.setCharAt(at, (char) random.nextInt(0x10000));
            default -> text.replace(at, end, FRAGMENTS.get(random.nextInt(FRAGMENTS.size())));
        }
    }
}
