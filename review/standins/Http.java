import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;

/** Reads HTTP/1.1 messages from a socket. */
final class Http {
    private Http() {}

    /** The first line and the header fields of a message. */
    record Head(String line, Map<String, String> fields) {
        String field(final String name) {
            return fields.get(name);
        }

        int status() {
            return Integer.parseInt(line.split(" ")[1]);
        }

        int length() {
            final String value = field("Content-Length");
            return value == null ? -1 : Integer.parseInt(value.trim());
        }

        boolean isChunked() {
            return "chunked".equalsIgnoreCase(field("Transfer-Encoding"));
        }
    }

    /** The body of an answer, and whether it looks complete to its reader. */
    record Answer(Head head, byte[] body, boolean complete) {}

    /** Returns the head of the next message, null if the connection ended before it. */
    static Head readHead(final InputStream in) throws IOException {
        final String line = readLine(in);
        if (line == null) {
            return null;
        }
        final Map<String, String> fields = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        String field = readLine(in);
        while (field != null && !field.isEmpty()) {
            final int colon = field.indexOf(':');
            fields.put(field.substring(0, colon), field.substring(colon + 1).trim());
            field = readLine(in);
        }
        if (field == null) {
            throw new EOFException("the head was cut off");
        }
        return new Head(line, fields);
    }

    /** Reads an answer with a length or in chunks. */
    static Answer readAnswer(final InputStream in) throws IOException {
        final Head head = readHead(in);
        if (head == null) {
            return null;
        }
        final ByteArrayOutputStream body = new ByteArrayOutputStream();
        try {
            if (head.isChunked()) {
                int size = Integer.parseInt(readLine(in).trim(), 16);
                while (size > 0) {
                    body.write(readBytes(in, size));
                    readLine(in);
                    size = Integer.parseInt(readLine(in).trim(), 16);
                }
                readLine(in);
            } else {
                body.write(readBytes(in, Math.max(0, head.length())));
            }
        } catch (final IOException | RuntimeException e) {
            return new Answer(head, body.toByteArray(), false);
        }
        return new Answer(head, body.toByteArray(), true);
    }

    static byte[] readBytes(final InputStream in, final int count) throws IOException {
        final byte[] bytes = in.readNBytes(count);
        if (bytes.length < count) {
            throw new EOFException("the body was cut off");
        }
        return bytes;
    }

    private static String readLine(final InputStream in) throws IOException {
        final ByteArrayOutputStream line = new ByteArrayOutputStream();
        int next = in.read();
        if (next < 0) {
            return null;
        }
        while (next >= 0 && next != '\n') {
            if (next != '\r') {
                line.write(next);
            }
            next = in.read();
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }
}
