package io.persimmonreel.core.stream;

import com.dynatrace.hash4j.hashing.Hasher64;
import com.dynatrace.hash4j.hashing.Hashing;

/** Computes the keys under which daemons know streams. */
public final class StreamKey {
    private static final Hasher64 HASHER = Hashing.komihash5_0();

    /** The bits of a long that a double in the unit interval can't represent. */
    private static final int UNUSED_BITS = Long.SIZE - 53;

    /** The distance between two numbers in the unit interval that are used. */
    private static final double UNIT = 0x1.0p-53;

    private StreamKey() {}

    /**
     * Returns the key of a stream.
     *
     * @param upstream the upstream that serves it
     * @param attemptId the id of the attempt that brought its first event
     * @return a 64-bit hash, which is the same on all daemons
     */
    public static long of(final String upstream, final String attemptId) {
        return HASHER.hashStream().putString(upstream).putString(attemptId).getAsLong();
    }

    /**
     * Returns a number by which an upstream of a split route is chosen, so that a stream goes on at
     * the upstream that began it while the weights of the route stay the same.
     *
     * @param attemptId the id of the attempt that brings the first event
     * @return a number from 0 (inclusive) to 1 (exclusive), the same on all daemons
     */
    public static double fraction(final String attemptId) {
        return (HASHER.hashCharsToLong(attemptId) >>> UNUSED_BITS) * UNIT;
    }
}
