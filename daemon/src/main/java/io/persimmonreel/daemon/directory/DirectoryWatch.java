package io.persimmonreel.daemon.directory;

import io.persimmonreel.core.peer.DirectoryVersion;
import io.persimmonreel.core.peer.PeerMessage.DirectoryCopy;
import io.persimmonreel.core.time.TimeSource;
import io.persimmonreel.core.time.TimerService;
import io.persimmonreel.daemon.directory.DirectorySource.Document;
import io.persimmonreel.daemon.log.EventLog;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.LongConsumer;

/**
 * Keeps the state up to date with the directory: reads all documents, then watches for changes, and
 * reads all documents again if the directory no longer has the changes or was restored. Responses
 * of an era before the newest known one are ignored, and are no sign that the directory is
 * reachable.
 *
 * <p>All methods run on the event loop.
 */
public final class DirectoryWatch {
    /** The time after an outage during which entries of live replicas may be missing. */
    private static final long RECOVERY_NANOS = Duration.ofMillis(2_200).toNanos();

    /** The time between two reads of the version. */
    private static final Duration CONFIRMATION_PAUSE = Duration.ofMillis(20);

    /** The time between a read of the version that failed and the next one. */
    private static final Duration FAILURE_PAUSE = Duration.ofMillis(150);

    private static final Duration ABSENCE_CHECK_INTERVAL = Duration.ofMillis(200);

    private final DirectorySource mSource;
    private final DirectoryState mState;
    private final TimerService mTimers;
    private final TimeSource mTime;
    private final EventLog mLog;
    private final DirectoryTimings mTimings;
    private final SplittableRandom mRandom;
    private Duration mRetryDelay;
    private final DirectoryConfirmations mConfirmations = new DirectoryConfirmations();
    private TimerService.Subscription mNextCall;
    private Optional<DirectoryRetention> mHistory = Optional.empty();
    private long mCalledNanos;
    private long mCalledWallMillis;
    private boolean mLoaded;
    private boolean mUnreachable;
    private long mLastResponseNanos;
    private long mOutageEndNanos;

    /**
     * Creates a watch, which {@link #start} starts.
     *
     * @param source reads the directory
     * @param state receives the documents
     * @param timers schedules the calls
     * @param time the clock
     * @param timings the delays and timeouts of calls
     * @param log receives the start and end of outages of the directory
     * @param seed the seed of the random retry delays
     */
    public DirectoryWatch(
            final DirectorySource source,
            final DirectoryState state,
            final TimerService timers,
            final TimeSource time,
            final DirectoryTimings timings,
            final EventLog log,
            final long seed) {
        mSource = source;
        mState = state;
        mTimers = timers;
        mTime = time;
        mTimings = timings;
        mRetryDelay = timings.firstRetryDelay();
        mLog = log;
        mRandom = new SplittableRandom(seed);
    }

    /**
     * Calls a listener once all changes are applied that the directory has now. The version is read
     * beside the call that waits for changes, which may wait for long.
     *
     * @param listener receives the monotonic time in nanoseconds; it is not called if the directory
     *     does not respond
     */
    public void confirm(final LongConsumer listener) {
        mConfirmations.add(listener);
        readVersionIfDue();
    }

    /**
     * Reads the changes before the start once the first documents are applied.
     *
     * @param retention what the directory keeps
     */
    public void readHistory(final DirectoryRetention retention) {
        mHistory = Optional.of(retention);
    }

    /** Starts to read and watch the directory. */
    public void start() {
        mLastResponseNanos = mTime.monotonicNanos();
        mOutageEndNanos = mLastResponseNanos;
        mTimers.every("directory-absence", ABSENCE_CHECK_INTERVAL, mState::removeAbsentReplicas);
        callDirectory();
    }

    /**
     * Returns the time since the last response of the directory, or since the start.
     *
     * @return the time in nanoseconds
     */
    public long silentNanos() {
        return mTime.monotonicNanos() - mLastResponseNanos;
    }

    /**
     * Applies documents that a peer sent because the directory is unreachable or has lost the
     * configuration. Documents of an older or the same version are ignored, except a newer
     * configuration.
     *
     * @param copy the documents of the peer
     */
    public void onCopy(final DirectoryCopy copy) {
        if (copy.names().size() != copy.contents().size()) {
            return;
        }
        if (mState.isNewer(copy.version())) {
            mLog.event("directory", "copied")
                    .put("era", copy.version().era())
                    .put("revision", copy.version().revision())
                    .put("documents", copy.names().size())
                    .put("silent_ms", Duration.ofNanos(silentNanos()).toMillis())
                    .write();
            mLoaded = true;
        }
        mState.applyCopy(copy, mTime.monotonicNanos());
    }

    private void scheduleCall(final Duration delay) {
        mNextCall = mTimers.after("directory", delay, now -> callDirectory());
    }

    private void callDirectory() {
        mNextCall = null;
        mCalledNanos = mTime.monotonicNanos();
        mCalledWallMillis = mTime.wallMillis();
        if (mLoaded) {
            final DirectoryVersion after = mState.version();
            mSource.watch(
                    after.revision(),
                    mTimings.watchWait().toMillis(),
                    new ChangeListener(after.era()));
        } else {
            mSource.readAll(new SnapshotListener());
        }
    }

    /**
     * Notes a response of the directory. One of an older era is late, and the next call is made
     * after the usual pause.
     *
     * @param era the era of the response
     * @return whether the response can be used
     */
    private boolean onResponse(final long era) {
        if (mState.isOlderEra(era)) {
            mState.onOlderEra(era);
            scheduleCall(mTimings.pause());
            return false;
        }
        final long now = mTime.monotonicNanos();
        mState.onEra(era, now);
        mLastResponseNanos = now;
        mRetryDelay = mTimings.firstRetryDelay();
        if (mUnreachable) {
            mUnreachable = false;
            mOutageEndNanos = now;
            mLog.event("directory", "regained")
                    .put("revision", mState.version().revision())
                    .write();
        }
        return true;
    }

    private void onUnreachable(final String reason) {
        if (!mUnreachable) {
            mUnreachable = true;
            mLog.event("directory", "lost")
                    .put("reason", reason)
                    .put("revision", mState.version().revision())
                    .write();
        }
        final long millis = mRetryDelay.toMillis();
        scheduleCall(Duration.ofMillis(millis / 2 + mRandom.nextLong(millis)));
        mRetryDelay =
                Duration.ofMillis(Math.min(mTimings.maximumRetryDelay().toMillis(), 2 * millis));
    }

    /**
     * Reports up to when all changes are known, and makes the next call.
     *
     * @param unchangedMillis how long the directory waited without a change, in milliseconds
     */
    private void onApplied(final long unchangedMillis) {
        final long elapsedNanos = mTime.monotonicNanos() - mCalledNanos;
        mState.onCurrent(
                mCalledNanos + Math.min(elapsedNanos, Duration.ofMillis(unchangedMillis).toNanos()),
                mCalledWallMillis + unchangedMillis);
        scheduleCall(mTimings.pause());
        settleConfirmations();
        readVersionIfDue();
    }

    private void readVersionIfDue() {
        if (mHistory.isPresent()) {
            if (mLoaded && mConfirmations.tryOtherRead()) {
                mSource.readHistory(mState.version().revision(), new HistoryListener());
            }
        } else if (mConfirmations.isReadDue() && mConfirmations.tryRead()) {
            mSource.readVersion(new VersionListener());
        }
    }

    /** Makes the next call at once if a version is awaited that is not applied yet. */
    private void settleConfirmations() {
        final boolean isSettled =
                mConfirmations.onApplied(mState.version(), mTime.monotonicNanos());
        if (!isSettled && mNextCall != null && !mUnreachable) {
            mNextCall.close();
            scheduleCall(Duration.ZERO);
        }
    }

    private boolean isAfterOutage() {
        return mTime.monotonicNanos() - mOutageEndNanos < RECOVERY_NANOS;
    }

    /** Receives the result of reading all documents. */
    private final class SnapshotListener implements DirectorySource.Listener {
        @Override
        public void onDocuments(final DirectoryVersion version, final List<Document> documents) {
            if (!onResponse(version.era())) {
                return;
            }
            mState.applySnapshot(version, documents, isAfterOutage(), mTime.monotonicNanos());
            mLoaded = true;
            onApplied(0);
        }

        @Override
        public void onHistoryLost(final long era) {
            onFailure("the directory has lost its history");
        }

        @Override
        public void onFailure(final String reason) {
            onUnreachable(reason);
        }
    }

    /** Receives the result of watching for changes. */
    private final class ChangeListener implements DirectorySource.Listener {
        private final long mEra;

        ChangeListener(final long era) {
            mEra = era;
        }

        /**
         * Applies changes of the era in which the call was made. In another era the revision of the
         * call means another state, so that changes may be missing.
         */
        @Override
        public void onDocuments(final DirectoryVersion version, final List<Document> documents) {
            if (!onResponse(version.era())) {
                return;
            }
            if (version.era() == mEra) {
                mState.applyChanges(version, documents);
                onApplied(documents.isEmpty() ? mTimings.watchWait().toMillis() : 0);
            } else {
                readAgain("era-changed", version.era());
            }
        }

        @Override
        public void onHistoryLost(final long era) {
            if (onResponse(era)) {
                readAgain("history-lost", era);
            }
        }

        private void readAgain(final String event, final long era) {
            mLog.event("directory", event)
                    .put("era", era)
                    .put("revision", mState.version().revision())
                    .write();
            mLoaded = false;
            callDirectory();
        }

        @Override
        public void onUnusable(final String reason) {
            mLoaded = false;
            onUnreachable(reason);
        }

        @Override
        public void onFailure(final String reason) {
            onUnreachable(reason);
        }
    }

    /** Receives the version that confirms what is applied. */
    private final class VersionListener implements DirectorySource.Listener {
        @Override
        public void onDocuments(final DirectoryVersion version, final List<Document> documents) {
            if (mState.isOlderEra(version.era())) {
                onFailure("the era is older than the newest known one");
                return;
            }
            mConfirmations.onVersion(version);
            settleConfirmations();
            mTimers.after("directory-version", CONFIRMATION_PAUSE, now -> readVersionIfDue());
        }

        @Override
        public void onHistoryLost(final long era) {
            onFailure("the directory has lost its history");
        }

        @Override
        public void onFailure(final String reason) {
            mConfirmations.onEnd();
            mTimers.after("directory-version", FAILURE_PAUSE, now -> readVersionIfDue());
        }
    }

    /**
     * Receives the changes before the start. A failed read is repeated after the next response of
     * the directory; confirmations wait for it.
     */
    private final class HistoryListener implements DirectorySource.Listener {
        private final long mEra = mState.version().era();

        @Override
        public void onDocuments(final DirectoryVersion version, final List<Document> documents) {
            if (version.era() != mEra) {
                onFailure("the directory was restored");
                return;
            }
            final DirectoryRetention retention = mHistory.orElseThrow();
            mHistory = Optional.empty();
            mConfirmations.onEnd();
            mLog.event("directory", "history")
                    .put("after", version.revision())
                    .put("revision", mState.version().revision())
                    .put("changes", documents.size())
                    .write();
            mState.onHistory(documents, retention, mTime.monotonicNanos(), mTime.wallMillis());
            readVersionIfDue();
        }

        @Override
        public void onHistoryLost(final long era) {
            onFailure("the directory has lost its history");
        }

        @Override
        public void onFailure(final String reason) {
            mConfirmations.onEnd();
        }
    }
}
