package io.persimmonreel.daemon.settings;

import java.util.Arrays;
import java.util.List;

/**
 * Holds the secret that all daemons share, and a second accepted one while the secret is rotated.
 * {@link #toString()} reveals neither.
 */
public final class FleetSecret {
    private final byte[] mBytes;
    private final byte[] mAlternate;

    /**
     * Creates a secret that is not being rotated.
     *
     * @param bytes the secret, copied
     */
    public FleetSecret(final byte[] bytes) {
        this(bytes, bytes);
    }

    /**
     * Creates a secret that is being rotated.
     *
     * @param bytes the secret that this daemon uses itself, copied
     * @param alternate the other secret that is accepted from peers, copied
     */
    public FleetSecret(final byte[] bytes, final byte[] alternate) {
        mBytes = bytes.clone();
        mAlternate = alternate.clone();
    }

    /**
     * Returns the secret that this daemon uses itself.
     *
     * @return a copy
     */
    public byte[] bytes() {
        return mBytes.clone();
    }

    /**
     * Returns the secrets that are accepted from peers.
     *
     * @return copies, the secret that this daemon uses first
     */
    public List<byte[]> accepted() {
        return List.of(mBytes.clone(), mAlternate.clone());
    }

    @Override
    public boolean equals(final Object other) {
        return other instanceof FleetSecret secret
                && Arrays.equals(mBytes, secret.mBytes)
                && Arrays.equals(mAlternate, secret.mAlternate);
    }

    @Override
    public int hashCode() {
        return Arrays.hashCode(mBytes);
    }

    @Override
    public String toString() {
        return "FleetSecret[" + mBytes.length + " bytes]";
    }
}
