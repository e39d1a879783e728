package io.persimmonreel.core.replica;

import com.dynatrace.hash4j.hashing.Hasher64;
import com.dynatrace.hash4j.hashing.Hashing;

/** Scores replicas for a subject by rendezvous hash, alike on all daemons. */
public final class Affinity {
    private static final Hasher64 HASHER = Hashing.komihash5_0();

    private Affinity() {}

    /**
     * Hashes a text.
     *
     * @param text the text
     * @return 64 bits
     */
    public static long hash(final String text) {
        return HASHER.hashCharsToLong(text);
    }

    /**
     * Scores a replica for a subject.
     *
     * @param subjectHash the hash of the subject
     * @param replica the replica
     * @return the score; the highest one of all replicas is the home of the subject
     */
    public static long score(final long subjectHash, final Replica replica) {
        return HASHER.hashLongLongToLong(subjectHash, replica.idHash());
    }
}
