package io.persimmonreel.core.config;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** Computes SHA-256 digests. */
public final class Digests {
    private Digests() {}

    /**
     * Computes the digest of a text's UTF-8 bytes.
     *
     * @param text the text
     * @return 32 bytes
     */
    public static byte[] sha256(final String text) {
        return sha256(text.getBytes(StandardCharsets.UTF_8));
    }

    /**
     * Computes the digest of bytes.
     *
     * @param bytes the bytes
     * @return 32 bytes
     */
    public static byte[] sha256(final byte[] bytes) {
        try {
            return MessageDigest.getInstance("SHA-256").digest(bytes);
        } catch (final NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform must support SHA-256", e);
        }
    }

    /**
     * Computes the digest of a text's UTF-8 bytes.
     *
     * @param text the text
     * @return 64 lower-case hexadecimal digits
     */
    public static String sha256Hex(final String text) {
        return HexFormat.of().formatHex(sha256(text));
    }
}
