package io.persimmonreel.core.config;

import io.persimmonreel.core.peer.PeerMessage.ConfigPart;
import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Joins the parts of one text or delta, which may arrive in any order and more than once. */
final class PartAssembly {
    /** A part fits into a frame, and heartbeats can be sent between two parts. */
    static final int PART_BYTES = 65_536;

    static final int MAXIMUM_PARTS = ConfigurationLimits.MAXIMUM_TEXT_BYTES / PART_BYTES;

    private final ConfigPart mFirst;
    private final byte[][] mParts;
    private int mMissing;

    PartAssembly(final ConfigPart first) {
        mFirst = first;
        mParts = new byte[first.count()][];
        mMissing = first.count();
    }

    /** Splits a text or delta into parts. */
    static List<ConfigPart> split(
            final long version, final String digest, final String baseDigest, final byte[] data) {
        final int count = Math.max(1, (data.length + PART_BYTES - 1) / PART_BYTES);
        final List<ConfigPart> parts = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            final int start = i * PART_BYTES;
            final byte[] part = new byte[Math.min(PART_BYTES, data.length - start)];
            System.arraycopy(data, start, part, 0, part.length);
            parts.add(new ConfigPart(version, digest, baseDigest, i, count, part));
        }
        return parts;
    }

    /** Tells whether a part is within all limits, so that a faulty peer can't exhaust memory. */
    static boolean isWellFormed(final ConfigPart part) {
        return part.count() >= 1
                && part.count() <= MAXIMUM_PARTS
                && part.index() >= 0
                && part.index() < part.count()
                && part.data().length <= PART_BYTES;
    }

    /** Tells whether a part belongs to this text or delta. */
    boolean accepts(final ConfigPart part) {
        return part.version() == mFirst.version()
                && part.count() == mFirst.count()
                && part.digest().equals(mFirst.digest())
                && part.baseDigest().equals(mFirst.baseDigest());
    }

    long version() {
        return mFirst.version();
    }

    String digest() {
        return mFirst.digest();
    }

    String baseDigest() {
        return mFirst.baseDigest();
    }

    /** Adds a part; returns false if it was here already. */
    boolean add(final ConfigPart part) {
        if (mParts[part.index()] != null) {
            return false;
        }
        mParts[part.index()] = part.data().clone();
        mMissing--;
        return true;
    }

    /** Returns all bytes, or empty while parts are missing. */
    Optional<byte[]> joined() {
        if (mMissing > 0) {
            return Optional.empty();
        }
        final ByteArrayOutputStream all = new ByteArrayOutputStream();
        for (final byte[] part : mParts) {
            all.write(part, 0, part.length);
        }
        return Optional.of(all.toByteArray());
    }
}
