package io.persimmonreel.experiment.ownership;

import java.util.Random;

/** Creates keys that are UUIDs of version 7, from a seeded random generator. */
final class UuidKeys {
    private static final long LOW_48_BITS = 0xffffffffffffL;
    private static final int TWELVE_BITS = 1 << 12;

    private UuidKeys() {}

    static String newKey(final long wallMillis, final Random random) {
        final String time = String.format("%012x", wallMillis);
        return String.format(
                "%s-%s-7%03x-8%03x-%012x",
                time.substring(0, 8),
                time.substring(8),
                random.nextInt(TWELVE_BITS),
                random.nextInt(TWELVE_BITS),
                random.nextLong() & LOW_48_BITS);
    }
}
