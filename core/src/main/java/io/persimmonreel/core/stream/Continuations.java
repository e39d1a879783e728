package io.persimmonreel.core.stream;

import io.persimmonreel.core.stream.StreamOrigins.Origin;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Holds requests that continue a stream until its software version is known, and decides on them.
 *
 * <p>The version is known if the origin of the stream was recorded here or by a peer, or if it
 * follows from the replicas that were ready when the stream began. The latter needs a view of the
 * directory that is at least as new as the request: a daemon that stood still or was cut off may
 * not have heard of the version that began the stream. A stream of unknown version must not go on.
 * Not thread safe.
 *
 * @param <T> the type of requests
 */
final class Continuations<T> {
    /** The maximum number of requests that wait. */
    static final int MAXIMUM_PENDING = 4_096;

    /** The time from the arrival of a request within which peers answer. */
    private static final long ANSWER_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

    /** The longest time for which a request waits for the directory and for peers. */
    private static final long MAXIMUM_WAIT_NANOS = TimeUnit.MILLISECONDS.toNanos(1_000);

    private final StreamVersions mVersions;
    private final Listener<T> mListener;
    private final Map<T, Pending> mPending = new LinkedHashMap<>();

    /**
     * Receives the decisions.
     *
     * @param <T> the type of requests
     */
    interface Listener<T> {
        /** Handles a request whose stream goes on at the version that began it. */
        void onKnown(T request, Origin origin);

        /** Handles a request whose stream must not go on. */
        void onUnknown(T request, boolean confirmed);
    }

    /** Holds a request that waits for a decision. */
    private static final class Pending {
        private final Optional<Long> mStream;
        private final String mUpstream;
        private final long mAgeNanos;
        private final long mSinceNanos;
        private boolean mIsConfirmed;

        Pending(
                final Optional<Long> stream,
                final String upstream,
                final long ageNanos,
                final long sinceNanos) {
            mStream = stream;
            mUpstream = upstream;
            mAgeNanos = ageNanos;
            mSinceNanos = sinceNanos;
        }

        /** Returns the longest time since the stream was requested. */
        long ageNanos(final long nowNanos) {
            return mAgeNanos + nowNanos - mSinceNanos;
        }

        /** Returns for how long the request waits. */
        long limitNanos() {
            return mIsConfirmed ? ANSWER_NANOS : MAXIMUM_WAIT_NANOS;
        }
    }

    Continuations(final StreamVersions versions, final Listener<T> listener) {
        mVersions = versions;
        mListener = listener;
    }

    /**
     * Decides on a request now or later.
     *
     * @param request the request
     * @param stream the key of the stream, empty if the request does not name it
     * @param upstream the upstream that serves it
     * @param ageNanos the longest time since the stream was requested, in nanoseconds
     * @param nowNanos the current monotonic time in nanoseconds
     * @return whether it is decided now
     */
    boolean begin(
            final T request,
            final Optional<Long> stream,
            final String upstream,
            final long ageNanos,
            final long nowNanos) {
        final Optional<Origin> origin = stream.flatMap(mVersions::origin);
        if (origin.isPresent()) {
            mListener.onKnown(request, origin.get());
            return true;
        }
        if (mPending.containsKey(request)) {
            return false;
        }
        if (mPending.size() >= MAXIMUM_PENDING) {
            mListener.onUnknown(request, false);
            return true;
        }
        mPending.put(request, new Pending(stream, upstream, ageNanos, nowNanos));
        return false;
    }

    /** Decides on the requests that wait for the origin of a stream. */
    void onOrigin(final long stream, final Origin origin) {
        for (final Map.Entry<T, Pending> pending : snapshot()) {
            if (pending.getValue().mStream.equals(Optional.of(stream))
                    && mPending.remove(pending.getKey()) != null) {
                mListener.onKnown(pending.getKey(), origin);
            }
        }
    }

    /** Records that this daemon knows all changes of the directory until a request arrived. */
    void onConfirmed(final T request, final long nowNanos) {
        final Pending pending = mPending.get(request);
        if (pending == null) {
            return;
        }
        pending.mIsConfirmed = true;
        if (pending.mStream.isEmpty()
                || mVersions.hasOneVersion(
                        pending.mUpstream, pending.ageNanos(nowNanos), nowNanos)) {
            decide(request, pending, nowNanos);
        }
    }

    /** Decides on the requests for which peers had time to answer. */
    void onTimer(final long nowNanos) {
        for (final Map.Entry<T, Pending> entry : snapshot()) {
            final Pending pending = entry.getValue();
            if (nowNanos - pending.mSinceNanos >= pending.limitNanos()) {
                decide(entry.getKey(), pending, nowNanos);
            }
        }
    }

    void remove(final T request) {
        mPending.remove(request);
    }

    /** Infers the version if the view is confirmed, and refuses the request if that fails. */
    private void decide(final T request, final Pending pending, final long nowNanos) {
        if (mPending.remove(request) == null) {
            return;
        }
        final Optional<String> version =
                pending.mIsConfirmed
                        ? mVersions.beganAt(
                                pending.mUpstream,
                                pending.mStream,
                                pending.ageNanos(nowNanos),
                                nowNanos)
                        : Optional.empty();
        version.ifPresentOrElse(
                known -> mListener.onKnown(request, new Origin(known, pending.mSinceNanos)),
                () -> mListener.onUnknown(request, pending.mIsConfirmed));
    }

    /** Returns a copy for loops in which requests may end. */
    private List<Map.Entry<T, Pending>> snapshot() {
        return mPending.isEmpty() ? List.of() : List.copyOf(mPending.entrySet());
    }
}
