package io.persimmonreel.core.quarantine;

import com.dynatrace.hash4j.hashing.Hasher64;
import com.dynatrace.hash4j.hashing.Hashing;
import com.dynatrace.hash4j.similarity.ElementHashProvider;
import com.dynatrace.hash4j.similarity.FastSimHashVersion;
import com.dynatrace.hash4j.similarity.SimilarityHashing;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Arrays;
import java.util.HexFormat;

/**
 * Identifies the content of a request, exactly and by similarity.
 *
 * @param service the service's id
 * @param digest SHA-256 of service and body, 64 lower-case hexadecimal digits
 * @param similarity the 64-bit similarity hash of the body; the hashes of similar bodies differ in
 *     few bits
 */
public record Fingerprint(String service, String digest, long similarity) {
    /** Maximum number of bits in which the similarity hashes of equivalent contents differ. */
    public static final int MAXIMUM_DISTANCE_BITS = 3;

    /**
     * Length of the overlapping byte sequences (shingles) that are hashed for similarity; short, so
     * that one changed word has little effect on a short body.
     */
    private static final int SHINGLE_BYTES = 4;

    /**
     * Contents with at least twice this number of shingles are sampled, since the time of the
     * similarity hash grows with their number.
     */
    private static final int SAMPLED_SHINGLES = 4096;

    /**
     * Computes the fingerprint of a request.
     *
     * @param service the service's id
     * @param body the request's body
     * @return the fingerprint
     */
    public static Fingerprint of(final String service, final byte[] body) {
        return of(service, body, body);
    }

    /**
     * Computes the fingerprint of a request whose body has a long part in common with other
     * requests.
     *
     * @param service the service's id
     * @param body the request's body
     * @param distinctive the part of the body to compare for similarity, such as the prompt without
     *     its shared prefix
     * @return the fingerprint
     */
    public static Fingerprint of(
            final String service, final byte[] body, final byte[] distinctive) {
        final MessageDigest sha;
        try {
            sha = MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("SHA-256 is not available", e);
        }
        sha.update(service.getBytes(StandardCharsets.UTF_8));
        sha.update((byte) 0);
        final String digest = HexFormat.of().formatHex(sha.digest(body));
        return new Fingerprint(service, digest, similarityOf(distinctive));
    }

    private static long similarityOf(final byte[] content) {
        final Hasher64 hasher = Hashing.komihash5_0();
        final int count = Math.max(1, content.length - SHINGLE_BYTES + 1);
        // Samples are selected by their hash, so that an insertion does not change all of them.
        final long mask = Long.highestOneBit(Math.max(1, count / SAMPLED_SHINGLES)) - 1;
        final long[] hashes = new long[count];
        int used = 0;
        for (int i = 0; i < count; i++) {
            final int length = Math.min(SHINGLE_BYTES, content.length - i);
            final long hash = hasher.hashBytesToLong(content, i, length);
            if ((hash & mask) == 0) {
                hashes[used++] = hash;
            }
        }
        final byte[] signature =
                SimilarityHashing.fastSimHash(Long.SIZE, FastSimHashVersion.V1)
                        .createHasher()
                        .compute(ElementHashProvider.ofValues(distinct(hashes, used)));
        return ByteBuffer.wrap(signature).order(ByteOrder.LITTLE_ENDIAN).getLong();
    }

    /** Removes duplicates; an empty input gives one zero, since the hash needs an element. */
    private static long[] distinct(final long[] hashes, final int used) {
        return used == 0 ? new long[] {0L} : Arrays.stream(hashes, 0, used).distinct().toArray();
    }

    /**
     * Returns whether another content counts as the same.
     *
     * @param other the fingerprint to compare with
     * @return true if the digests are equal or the similarity hashes are close
     */
    public boolean isSameContent(final Fingerprint other) {
        return service.equals(other.service)
                && (digest.equals(other.digest)
                        || Long.bitCount(similarity ^ other.similarity) <= MAXIMUM_DISTANCE_BITS);
    }
}
