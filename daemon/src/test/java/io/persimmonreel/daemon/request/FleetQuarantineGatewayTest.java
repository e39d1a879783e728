package io.persimmonreel.daemon.request;

import static org.assertj.core.api.Assertions.assertThat;

import io.persimmonreel.core.quarantine.Quarantine;
import io.persimmonreel.daemon.time.SystemTimeSource;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

class FleetQuarantineGatewayTest {
    private static final int PREFIX_LENGTH = 4096;
    private static final String PREFIX = text(1L, PREFIX_LENGTH);

    private final FleetQuarantineGateway mGateway =
            new FleetQuarantineGateway(new Quarantine(), new SystemTimeSource(), message -> {});

    private static String text(final long seed, final int length) {
        final Random random = new Random(seed);
        final StringBuilder text = new StringBuilder();
        while (text.length() < length) {
            text.append(Integer.toString(random.nextInt(1 << 24), 36)).append(' ');
        }
        return text.substring(0, length);
    }

    private QuarantineGateway.Verdict check(final String prompt) {
        final EngineInput input = new EngineInput(PREFIX + prompt, PREFIX.length(), 1, 1L, 1, 9);
        final String body = "{\"prefix\":\"" + PREFIX + "\",\"prompt\":\"" + prompt + "\"}";
        return mGateway.check(
                "s", body.getBytes(StandardCharsets.UTF_8), input.similarityContent(), 5L);
    }

    /**
     * Guards against isolating harmless requests only because they share a prefix with a suspect.
     */
    @Test
    void sharedPrefixDoesNotMakeRequestsSimilar() {
        mGateway.onCrash("r1", List.of(check(text(2L, 40)).fingerprint()), 5L);
        assertThat(check(text(2L, 40)).isolated()).isTrue();
        for (long seed = 3; seed < 53; seed++) {
            assertThat(check(text(seed, 40)).isolated()).as("seed " + seed).isFalse();
        }
    }

    /** Guards against a crashing prompt that evades the quarantine by changing one byte. */
    @Test
    void longPromptWithOneChangedByteIsStillSimilar() {
        final String prompt = text(2L, 8192);
        mGateway.onCrash("r1", List.of(check(prompt).fingerprint()), 5L);
        final String changed = prompt.substring(0, 4000) + '#' + prompt.substring(4001);
        assertThat(check(changed).isolated()).isTrue();
        assertThat(check(changed).excludedReplicas()).containsExactly("r1");
    }
}
