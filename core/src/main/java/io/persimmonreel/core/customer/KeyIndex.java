package io.persimmonreel.core.customer;

import io.persimmonreel.core.config.Digests;
import java.security.MessageDigest;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Finds the customer of a bearer key. The first 32 bits of the key's digest select the candidates,
 * so the lookup time does not grow with the number of customers. Candidates are compared in
 * constant time. A caller can't choose the digest of a guessed key bit by bit, so the time of the
 * selection reveals nothing about the keys.
 */
final class KeyIndex {
    /** Longer keys are rejected without hashing them. */
    static final int MAXIMUM_KEY_CHARACTERS = 512;

    private static final byte[] NO_DIGEST = new byte[32];

    private final Map<Integer, List<Entry>> mEntries;

    private record Entry(byte[] digest, CustomerSpec customer) {}

    KeyIndex(final Collection<CustomerSpec> customers) {
        final Map<Integer, List<Entry>> entries = new HashMap<>();
        for (final CustomerSpec customer : customers) {
            for (final String hex : customer.keyDigests()) {
                final byte[] digest = HexFormat.of().parseHex(hex);
                entries.computeIfAbsent(prefix(digest), p -> new ArrayList<>(1))
                        .add(new Entry(digest, customer));
            }
        }
        mEntries = entries;
    }

    Optional<CustomerSpec> find(final String key) {
        if (key.isEmpty() || key.length() > MAXIMUM_KEY_CHARACTERS) {
            return Optional.empty();
        }
        final byte[] digest = Digests.sha256(key);
        CustomerSpec found = null;
        // An unknown prefix costs one comparison too, so that its time does not differ.
        final List<Entry> none = List.of(new Entry(NO_DIGEST, null));
        for (final Entry entry : mEntries.getOrDefault(prefix(digest), none)) {
            if (MessageDigest.isEqual(entry.digest(), digest)) {
                found = entry.customer();
            }
        }
        return Optional.ofNullable(found);
    }

    private static int prefix(final byte[] digest) {
        return (digest[0] & 0xff) << 24
                | (digest[1] & 0xff) << 16
                | (digest[2] & 0xff) << 8
                | digest[3] & 0xff;
    }
}
