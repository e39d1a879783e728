package io.persimmonreel.core.config;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Encodes a text as its difference by lines from a base text, and restores it. The encoding is a
 * series of operations: copy lines of the base (first line, count), or add bytes (length, bytes).
 */
final class LineDelta {
    private static final int COPY = 0;
    private static final int ADD = 1;

    /** A line that the base repeats, such as a blank one, is tried at this many places only. */
    private static final int MAXIMUM_PLACES_PER_LINE = 8;

    private LineDelta() {}

    /** Encodes a text as a delta from a base text. */
    static byte[] encode(final String base, final String text) {
        final List<String> baseLines = lines(base);
        final List<String> textLines = lines(text);
        final Map<String, List<Integer>> index = index(baseLines);
        final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        final DataOutputStream out = new DataOutputStream(bytes);
        final StringBuilder added = new StringBuilder();
        try {
            int at = 0;
            while (at < textLines.size()) {
                final LineRange common = longestCommonRange(baseLines, textLines, at, index);
                if (common.count() == 0) {
                    added.append(textLines.get(at));
                    at++;
                } else {
                    writeAdded(out, added);
                    out.writeByte(COPY);
                    out.writeInt(common.start());
                    out.writeInt(common.count());
                    at += common.count();
                }
            }
            writeAdded(out, added);
        } catch (final IOException e) {
            throw new UncheckedIOException(e);
        }
        return bytes.toByteArray();
    }

    /**
     * Restores a text from a base text and a delta.
     *
     * @param base the base text
     * @param delta the encoded delta
     * @param maximumBytes the largest allowed size of the result
     * @return the text, or empty if the delta does not fit the base or the result is too large
     */
    static Optional<String> apply(final String base, final byte[] delta, final int maximumBytes) {
        final List<String> baseLines = lines(base);
        final ByteArrayOutputStream text = new ByteArrayOutputStream();
        try (DataInputStream in = new DataInputStream(new ByteArrayInputStream(delta))) {
            while (in.available() > 0) {
                if (!applyOperation(baseLines, in, text, maximumBytes)) {
                    return Optional.empty();
                }
            }
        } catch (final IOException e) {
            return Optional.empty();
        }
        return Optional.of(text.toString(StandardCharsets.UTF_8));
    }

    private static boolean applyOperation(
            final List<String> baseLines,
            final DataInputStream in,
            final ByteArrayOutputStream text,
            final int maximumBytes)
            throws IOException {
        final int operation = in.readByte();
        if (operation == ADD) {
            final int length = in.readInt();
            if (length < 0 || length > in.available() || length > maximumBytes - text.size()) {
                return false;
            }
            text.write(in.readNBytes(length));
            return true;
        }
        final int start = in.readInt();
        final int count = in.readInt();
        if (operation != COPY || start < 0 || count < 0 || start > baseLines.size() - count) {
            return false;
        }
        for (final String line : baseLines.subList(start, start + count)) {
            text.write(line.getBytes(StandardCharsets.UTF_8));
            if (text.size() > maximumBytes) {
                return false;
            }
        }
        return true;
    }

    private static void writeAdded(final DataOutputStream out, final StringBuilder added)
            throws IOException {
        if (added.length() > 0) {
            final byte[] bytes = added.toString().getBytes(StandardCharsets.UTF_8);
            out.writeByte(ADD);
            out.writeInt(bytes.length);
            out.write(bytes);
            added.setLength(0);
        }
    }

    /** Splits a text after each line feed, so that joining the lines gives the text again. */
    private static List<String> lines(final String text) {
        final List<String> lines = new ArrayList<>();
        int start = 0;
        while (start < text.length()) {
            final int feed = text.indexOf('\n', start);
            final int end = feed < 0 ? text.length() : feed + 1;
            lines.add(text.substring(start, end));
            start = end;
        }
        return lines;
    }

    /** Returns the places of each line. */
    private static Map<String, List<Integer>> index(final List<String> lines) {
        final Map<String, List<Integer>> index = new HashMap<>();
        for (int i = 0; i < lines.size(); i++) {
            final List<Integer> places =
                    index.computeIfAbsent(lines.get(i), line -> new ArrayList<>());
            if (places.size() < MAXIMUM_PLACES_PER_LINE) {
                places.add(i);
            }
        }
        return index;
    }

    /** Finds the longest range of the base that equals the lines of the text at a place. */
    private static LineRange longestCommonRange(
            final List<String> baseLines,
            final List<String> textLines,
            final int at,
            final Map<String, List<Integer>> index) {
        LineRange longest = new LineRange(0, 0);
        for (final int start : index.getOrDefault(textLines.get(at), List.of())) {
            int count = 0;
            while (start + count < baseLines.size()
                    && at + count < textLines.size()
                    && baseLines.get(start + count).equals(textLines.get(at + count))) {
                count++;
            }
            if (count > longest.count()) {
                longest = new LineRange(start, count);
            }
        }
        return longest;
    }

    private record LineRange(int start, int count) {}
}
