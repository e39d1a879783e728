package io.persimmonreel.cli;

import java.security.SecureRandom;
import java.util.UUID;

/** Generates idempotency keys that contain their time of creation (UUID version 7). */
final class IdempotencyKeyGenerator {
    private static final long VERSION = 0x7000L;
    private static final long VARIANT = 0x8000_0000_0000_0000L;
    private static final long RANDOM_A_MASK = 0xfffL;

    private final SecureRandom mRandom = new SecureRandom();

    /** Returns a new key for a time in milliseconds since the Unix epoch. */
    String next(final long wallMillis) {
        final long high = wallMillis << 16 | VERSION | mRandom.nextLong() & RANDOM_A_MASK;
        final long low = VARIANT | mRandom.nextLong() >>> 2;
        return new UUID(high, low).toString();
    }
}
