package io.persimmonreel.core.claim;

import io.persimmonreel.core.peer.Incarnation;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.HexFormat;
import java.util.concurrent.atomic.AtomicLong;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * Issues and verifies idempotency keys that contain the incarnation of their issuer, which alone
 * can grant a claim on them, and a message authentication code.
 *
 * <p>The time in a key is the issuer's process uptime: only the issuer reads it, and a wall clock
 * may jump.
 */
final class KeyIssuer {
    static final String PREFIX = "pr1.";
    private static final String ALGORITHM = "HmacSHA256";
    private static final int PART_COUNT = 5;

    private final Incarnation mSelf;
    private final SecretKeySpec mSecret;
    private final AtomicLong mLastSerial = new AtomicLong();

    KeyIssuer(final Incarnation self, final byte[] fleetSecret) {
        mSelf = self;
        mSecret = new SecretKeySpec(fleetSecret.clone(), ALGORITHM);
    }

    String issue(final long processUptimeMillis) {
        final String text =
                PREFIX + mSelf + "." + processUptimeMillis + "." + mLastSerial.incrementAndGet();
        return text + "." + hexMac(text);
    }

    IdempotencyKey parse(final String key) {
        final String[] parts = key.split("\\.", -1);
        if (parts.length != PART_COUNT) {
            return IdempotencyKey.of(IdempotencyKey.Kind.INVALID_MAC);
        }
        final String signed = key.substring(0, key.lastIndexOf('.'));
        final byte[] expected = hexMac(signed).getBytes(StandardCharsets.US_ASCII);
        if (!MessageDigest.isEqual(expected, parts[4].getBytes(StandardCharsets.US_ASCII))) {
            return IdempotencyKey.of(IdempotencyKey.Kind.INVALID_MAC);
        }
        final Incarnation issuer = new Incarnation(Long.parseUnsignedLong(parts[1], 16));
        return new IdempotencyKey(IdempotencyKey.Kind.ISSUED, Long.parseLong(parts[2]), issuer);
    }

    private String hexMac(final String text) {
        try {
            final Mac mac = Mac.getInstance(ALGORITHM);
            mac.init(mSecret);
            return HexFormat.of().formatHex(mac.doFinal(text.getBytes(StandardCharsets.US_ASCII)));
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException("HMAC-SHA256 is not available", e);
        }
    }
}
