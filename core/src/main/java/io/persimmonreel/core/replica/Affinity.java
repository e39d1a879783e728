package io.persimmonreel.core.replica;

import com.dynatrace.hash4j.hashing.Hasher64;
import com.dynatrace.hash4j.hashing.Hashing;

/** Scores replicas for a key by rendezvous hashing; all daemons compute the same scores. */
public final class Affinity {
    private static final Hasher64 HASHER = Hashing.komihash5_0();

    private Affinity() {}

    /**
     * Hashes a text to 64 bits.
     *
     * @param text the text
     * @return the hash
     */
    public static long hash(final String text) {
        return HASHER.hashCharsToLong(text);
    }

    /**
     * Computes the score of a replica for a key.
     *
     * @param keyHash the hash of the key
     * @param replica the replica
     * @return the score; the replica with the highest one is preferred for the key
     */
    public static long score(final long keyHash, final Replica replica) {
        return HASHER.hashLongLongToLong(keyHash, replica.idHash());
    }
}
