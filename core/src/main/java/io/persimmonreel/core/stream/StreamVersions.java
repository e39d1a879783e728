package io.persimmonreel.core.stream;

import io.persimmonreel.core.stream.StreamOrigins.Origin;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/** Tells at which software version a stream began. Not thread safe. */
public final class StreamVersions {
    /** The longest time for which callers are expected to continue a stream. */
    private static final long TYPICAL_LIFE_NANOS = TimeUnit.SECONDS.toNanos(15);

    /** The age of the view of the directory with which a daemon begins streams that is cut off. */
    private static final long CUT_OFF_LAG_NANOS = TimeUnit.SECONDS.toNanos(10);

    /** The same while all daemons are heard. */
    private static final long LAG_NANOS = SoftwareVersions.MAXIMUM_GAP_NANOS;

    private final SoftwareVersions mSoftware = new SoftwareVersions();
    private final StreamOrigins mOrigins = new StreamOrigins();
    private boolean mIsAnyCutOff = true;

    /**
     * Returns the software versions of the upstreams.
     *
     * @return the versions as the directory shows them
     */
    public SoftwareVersions software() {
        return mSoftware;
    }

    StreamOrigins origins() {
        return mOrigins;
    }

    /** Returns where a stream began, or empty if that was not recorded. */
    Optional<Origin> origin(final long stream) {
        return mOrigins.find(stream);
    }

    /**
     * Returns the version at which a stream began that a caller continues now.
     *
     * @param upstream the upstream's name
     * @param stream the key of the stream, empty if it is not known
     * @param ageNanos the longest time since the stream was requested, in nanoseconds
     * @param nowNanos the current monotonic time in nanoseconds
     * @return the version, or empty if the stream may have begun at several
     */
    Optional<String> beganAt(
            final String upstream,
            final Optional<Long> stream,
            final long ageNanos,
            final long nowNanos) {
        final long lagNanos = mIsAnyCutOff ? CUT_OFF_LAG_NANOS : LAG_NANOS;
        return mSoftware.beganAt(upstream, stream, nowNanos - ageNanos - lagNanos);
    }

    /** Returns whether an upstream had one version only for as long as a stream can have lived. */
    boolean hasOneVersion(final String upstream, final long ageNanos, final long nowNanos) {
        return mSoftware.hasOneVersionSince(upstream, nowNanos - ageNanos - CUT_OFF_LAG_NANOS);
    }

    /** Sets whether a daemon may be cut off from this one, or was lately. */
    void onCutOff(final boolean isAnyCutOff) {
        mIsAnyCutOff = isAnyCutOff;
    }

    /** Returns whether a daemon may not be able to tell the version of a stream that begins now. */
    boolean needsOrigin(final String upstream, final long nowNanos) {
        return !mSoftware.isCurrent(nowNanos)
                || !hasOneVersion(upstream, TYPICAL_LIFE_NANOS, nowNanos);
    }
}
