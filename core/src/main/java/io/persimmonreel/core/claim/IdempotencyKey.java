package io.persimmonreel.core.claim;

import io.persimmonreel.core.peer.Incarnation;

/**
 * Holds a parsed idempotency key. Its kind decides how a member confirms that the key was not used
 * before.
 *
 * @param kind the kind of key
 * @param timeMillis the wall time in a UUIDv7, the issuer's process uptime in an issued key, else 0
 * @param issuer the incarnation that issued the key, null for any other key
 */
record IdempotencyKey(Kind kind, long timeMillis, Incarnation issuer) {
    /** Lists the kinds of keys. */
    enum Kind {
        /** A version 7 UUID, which holds the time of its creation. */
        TIMED,
        /** A key issued by a daemon of this fleet. */
        ISSUED,
        /** Any other text; carries no time of its creation. */
        OPAQUE,
        /** Too short, too long or with characters other than visible ASCII. */
        MALFORMED,
        /** Has the prefix of an issued key, but its parts or its MAC are wrong. */
        INVALID_MAC
    }

    static final int MINIMUM_LENGTH = 8;
    static final int MAXIMUM_LENGTH = 255;
    private static final int UUID_LENGTH = 36;
    private static final String UUID_V7 =
            "[0-9a-fA-F]{8}-[0-9a-fA-F]{4}-7[0-9a-fA-F]{3}-[89abAB][0-9a-fA-F]{3}-[0-9a-fA-F]{12}";

    static IdempotencyKey parse(final String key, final KeyIssuer keyIssuer) {
        if (!isWellFormed(key)) {
            return of(Kind.MALFORMED);
        }
        if (key.startsWith(KeyIssuer.PREFIX)) {
            return keyIssuer.parse(key);
        }
        if (key.length() == UUID_LENGTH && key.matches(UUID_V7)) {
            final long timeMillis = Long.parseLong(key.substring(0, 8) + key.substring(9, 13), 16);
            return new IdempotencyKey(Kind.TIMED, timeMillis, null);
        }
        return of(Kind.OPAQUE);
    }

    static IdempotencyKey of(final Kind kind) {
        return new IdempotencyKey(kind, 0L, null);
    }

    private static boolean isWellFormed(final String key) {
        return key.length() >= MINIMUM_LENGTH
                && key.length() <= MAXIMUM_LENGTH
                && key.chars().allMatch(c -> c > ' ' && c < 0x7f);
    }
}
