import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes record.txt: what was sent, answered and run, with the time since the start. */
final class Record implements AutoCloseable {
    private final PrintWriter mWriter;
    private final long mStartNanos = System.nanoTime();

    Record(final Path file) throws IOException {
        mWriter = new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8));
    }

    synchronized void line(final String format, final Object... arguments) {
        final double millis = (System.nanoTime() - mStartNanos) / 1e6;
        mWriter.printf("%10.1f ms  %s%n", millis, String.format(format, arguments));
        mWriter.flush();
    }

    @Override
    public synchronized void close() {
        mWriter.close();
    }
}
