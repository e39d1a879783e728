package io.persimmonreel.daemon.connect;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.OptionalInt;

/** Reads how many descriptors this process may have open. */
public final class DescriptorLimit {
    private static final Path LIMITS = Path.of("/proc/self/limits");
    private static final String OPEN_FILES = "Max open files";

    private DescriptorLimit() {}

    /**
     * Returns the limit of this process.
     *
     * @return the number of descriptors, or empty if there is no limit or it can't be read
     */
    public static OptionalInt current() {
        try {
            return parse(Files.readAllLines(LIMITS));
        } catch (final IOException e) {
            // Not on Linux.
            return OptionalInt.empty();
        }
    }

    /** Reads the soft limit from the lines of the file. */
    static OptionalInt parse(final List<String> lines) {
        return lines.stream()
                .filter(line -> line.startsWith(OPEN_FILES))
                .map(line -> line.substring(OPEN_FILES.length()).trim().split("\\s+")[0])
                .filter(limit -> limit.matches("\\d{1,9}"))
                .mapToInt(Integer::parseInt)
                .findFirst();
    }
}
