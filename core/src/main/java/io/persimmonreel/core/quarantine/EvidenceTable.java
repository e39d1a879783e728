package io.persimmonreel.core.quarantine;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Stores evidence and finds it by the digest or the similarity hash of a content.
 *
 * <p>The similarity hash is indexed by four bands of 16 bits. Two hashes that differ in at most
 * three bits are equal in at least one band. Not thread safe.
 */
final class EvidenceTable {
    private static final int BANDS = 4;
    private static final int BAND_BITS = 16;
    private static final long BAND_MASK = 0xffffL;

    private final Map<String, Evidence> mByDigest = new LinkedHashMap<>();
    private final Map<Long, Set<String>> mDigestsByBand = new HashMap<>();
    private final int mMaximumEntries;

    EvidenceTable(final int maximumEntries) {
        mMaximumEntries = maximumEntries;
    }

    Optional<Evidence> find(final Fingerprint fingerprint) {
        final Evidence exact = mByDigest.get(fingerprint.digest());
        if (exact != null) {
            return Optional.of(exact);
        }
        for (int band = 0; band < BANDS; band++) {
            for (final String digest :
                    mDigestsByBand.getOrDefault(bandKey(fingerprint, band), Set.of())) {
                final Evidence evidence = mByDigest.get(digest);
                if (evidence.fingerprint().isSameContent(fingerprint)) {
                    return Optional.of(evidence);
                }
            }
        }
        return Optional.empty();
    }

    Optional<Evidence> findExact(final Fingerprint fingerprint) {
        return Optional.ofNullable(mByDigest.get(fingerprint.digest()));
    }

    /**
     * Adds or replaces evidence. A full table drops its oldest evidence on a content that is not
     * quarantined; if there is none, the new evidence is ignored.
     */
    void put(final Evidence evidence) {
        final String digest = evidence.fingerprint().digest();
        if (mByDigest.containsKey(digest)) {
            mByDigest.put(digest, evidence);
            return;
        }
        if (mByDigest.size() >= mMaximumEntries && !dropOldestNotQuarantined()) {
            return;
        }
        mByDigest.put(digest, evidence);
        for (int band = 0; band < BANDS; band++) {
            mDigestsByBand
                    .computeIfAbsent(bandKey(evidence.fingerprint(), band), k -> new HashSet<>())
                    .add(digest);
        }
    }

    private boolean dropOldestNotQuarantined() {
        final Optional<Evidence> oldest =
                mByDigest.values().stream().filter(e -> !e.quarantined()).findFirst();
        oldest.ifPresent(this::remove);
        return oldest.isPresent();
    }

    void remove(final Evidence evidence) {
        final String digest = evidence.fingerprint().digest();
        if (mByDigest.remove(digest) == null) {
            return;
        }
        for (int band = 0; band < BANDS; band++) {
            final Long key = bandKey(evidence.fingerprint(), band);
            final Set<String> digests = mDigestsByBand.get(key);
            digests.remove(digest);
            if (digests.isEmpty()) {
                mDigestsByBand.remove(key);
            }
        }
    }

    void expire(final long beforeNanos) {
        final List<Evidence> expired = new ArrayList<>();
        for (final Evidence evidence : mByDigest.values()) {
            if (evidence.lastCrashNanos() - beforeNanos < 0) {
                expired.add(evidence);
            }
        }
        expired.forEach(this::remove);
    }

    /** Returns a copy of all evidence. */
    List<Evidence> all() {
        return List.copyOf(mByDigest.values());
    }

    int size() {
        return mByDigest.size();
    }

    private static Long bandKey(final Fingerprint fingerprint, final int band) {
        return (long) band << BAND_BITS
                | fingerprint.similarity() >>> (band * BAND_BITS) & BAND_MASK;
    }
}
