package io.persimmonreel.daemon.peer;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.HexFormat;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Compares messages with the frames of an earlier build, which are kept as lines of type and bytes.
 * The position of a line is the type code.
 */
class PeerFramesTest {
    private static final String FRAMES = "/frames/a0c185f.txt";

    private final PeerCodec mCodec = new PeerCodec();

    static Stream<Arguments> frames() {
        final List<String> lines = lines();
        return Stream.iterate(0, i -> i < lines.size(), i -> i + 1)
                .map(
                        i -> {
                            final String[] words = lines.get(i).split(" ");
                            return Arguments.of(PeerCodec.MESSAGE_TYPES.get(i), words[0], words[1]);
                        });
    }

    private static List<String> lines() {
        try (InputStream in = PeerFramesTest.class.getResourceAsStream(FRAMES)) {
            return new String(in.readAllBytes(), StandardCharsets.US_ASCII).lines().toList();
        } catch (final IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    @Nested
    class TheBuildBefore {
        /** Guards against a build that can't read the messages of the one before. */
        @ParameterizedTest(name = "{1}")
        @MethodSource("io.persimmonreel.daemon.peer.PeerFramesTest#frames")
        void isUnderstood(final Class<? extends Record> type, final String name, final String frame)
                throws Exception {
            assertThat(type.getSimpleName()).isEqualTo(name);
            assertThat(mCodec.decode(HexFormat.of().parseHex(frame)))
                    .usingRecursiveComparison()
                    .isEqualTo(SampleMessages.of(type));
        }

        /** Guards against messages that the build before can't read. */
        @ParameterizedTest(name = "{1}")
        @MethodSource("io.persimmonreel.daemon.peer.PeerFramesTest#frames")
        void understandsThisOne(
                final Class<? extends Record> type, final String name, final String frame)
                throws Exception {
            assertThat(HexFormat.of().formatHex(mCodec.encode(SampleMessages.of(type))))
                    .isEqualTo(frame);
        }
    }
}
