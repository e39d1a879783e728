package io.persimmonreel.core.stream;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class StreamKeyTest {
    @Test
    void differsByUpstreamAndByAttempt() {
        assertThat(StreamKey.of("a", "bc")).isNotEqualTo(StreamKey.of("ab", "c"));
        assertThat(StreamKey.of("a", "b")).isEqualTo(StreamKey.of("a", "b"));
    }

    @Test
    void fractionsAreUniform() {
        final double mean =
                IntStream.range(0, 10_000)
                        .mapToDouble(i -> StreamKey.fraction("attempt" + i))
                        .peek(fraction -> assertThat(fraction).isBetween(0.0, Math.nextDown(1.0)))
                        .average()
                        .orElseThrow();
        assertThat(mean).isBetween(0.48, 0.52);
    }
}
