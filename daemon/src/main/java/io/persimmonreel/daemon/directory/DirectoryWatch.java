package io.persimmonreel.daemon.directory;

import io.persimmonreel.core.peer.PeerMessage.DirectoryCopy;
import io.persimmonreel.core.time.TimeSource;
import io.persimmonreel.core.time.TimerService;
import io.persimmonreel.daemon.directory.DirectorySource.Document;
import io.persimmonreel.daemon.log.EventLog;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;

/**
 * Follows the directory: reads it whole, then watches for changes, and starts over when history was
 * lost. All methods run on the event loop.
 */
public final class DirectoryWatch {
    /** A watch without a change returns after this time, so that a dead connection is noticed. */
    private static final long WAIT_MILLIS = 2_500;

    /**
     * Changes are collected for this part of the time in which they have to be known, since each
     * call is charged.
     */
    private static final double PACE_SHARE = 0.4;

    private static final Duration FIRST_RETRY = Duration.ofMillis(250);
    private static final Duration LONGEST_RETRY = Duration.ofMillis(1_000);

    /** Within this time after an outage entries of live replicas may be missing. */
    private static final long RETURN_NANOS = Duration.ofMillis(2_200).toNanos();

    private static final Duration ABSENCE_CHECK = Duration.ofMillis(200);

    private final DirectorySource mSource;
    private final DirectoryState mState;
    private final TimerService mTimers;
    private final TimeSource mTime;
    private final EventLog mLog;
    private final Duration mPace;
    private final SplittableRandom mRandom;
    private Duration mRetry = FIRST_RETRY;
    private boolean mLoaded;
    private boolean mLost;
    private long mReachedNanos;
    private long mReturnedNanos;

    /**
     * Creates a watch; {@link #start} starts it.
     *
     * @param source reads the directory
     * @param state takes the documents
     * @param timers calls back later
     * @param time the clock
     * @param bound the time within which a change has to be known
     * @param log receives losses and returns of the directory
     * @param seed the seed by which retries are spread
     */
    public DirectoryWatch(
            final DirectorySource source,
            final DirectoryState state,
            final TimerService timers,
            final TimeSource time,
            final Duration bound,
            final EventLog log,
            final long seed) {
        mSource = source;
        mState = state;
        mTimers = timers;
        mTime = time;
        mPace = Duration.ofMillis((long) (bound.toMillis() * PACE_SHARE));
        mLog = log;
        mRandom = new SplittableRandom(seed);
    }

    /** Starts to read. */
    public void start() {
        mReachedNanos = mTime.monotonicNanos();
        mReturnedNanos = mReachedNanos;
        mTimers.every("directory-absence", ABSENCE_CHECK, mState::expireAbsent);
        mSource.readAll(new WholeListener());
    }

    /**
     * Returns how long the directory has not answered.
     *
     * @return nanoseconds since the last answer
     */
    public long silentNanos() {
        return mTime.monotonicNanos() - mReachedNanos;
    }

    /**
     * Takes documents from a peer, which count while the directory does not answer.
     *
     * @param copy the documents
     */
    public void onCopy(final DirectoryCopy copy) {
        if (copy.revision() <= mState.revision() || copy.names().size() != copy.contents().size()) {
            return;
        }
        final List<Document> documents = new ArrayList<>();
        for (int i = 0; i < copy.names().size(); i++) {
            documents.add(new Document(copy.names().get(i), Optional.of(copy.contents().get(i))));
        }
        mLog.event("directory", "copied")
                .put("revision", copy.revision())
                .put("documents", documents.size())
                .put("silent_ms", Duration.ofNanos(silentNanos()).toMillis())
                .write();
        mState.onAll(copy.revision(), documents, false, mTime.monotonicNanos());
        mLoaded = true;
    }

    private void next(final Duration delay) {
        mTimers.after("directory", delay, now -> call());
    }

    private void call() {
        if (mLoaded) {
            mSource.watch(mState.revision(), WAIT_MILLIS, new ChangeListener());
        } else {
            mSource.readAll(new WholeListener());
        }
    }

    private void onReached() {
        final long now = mTime.monotonicNanos();
        mReachedNanos = now;
        mRetry = FIRST_RETRY;
        if (mLost) {
            mLost = false;
            mReturnedNanos = now;
            mLog.event("directory", "regained").put("revision", mState.revision()).write();
        }
    }

    private void onUnreached(final String reason) {
        if (!mLost) {
            mLost = true;
            mLog.event("directory", "lost")
                    .put("reason", reason)
                    .put("revision", mState.revision())
                    .write();
        }
        final long millis = mRetry.toMillis();
        next(Duration.ofMillis(millis / 2 + mRandom.nextLong(millis)));
        mRetry = Duration.ofMillis(Math.min(LONGEST_RETRY.toMillis(), 2 * millis));
    }

    private boolean isReturning() {
        return mTime.monotonicNanos() - mReturnedNanos < RETURN_NANOS;
    }

    /** Receives all documents. */
    private final class WholeListener implements DirectorySource.Listener {
        @Override
        public void onDocuments(final long revision, final List<Document> documents) {
            onReached();
            mState.onAll(revision, documents, isReturning(), mTime.monotonicNanos());
            mLoaded = true;
            next(mPace);
        }

        @Override
        public void onHistoryLost() {
            onFailure("history is lost");
        }

        @Override
        public void onFailure(final String reason) {
            onUnreached(reason);
        }
    }

    /** Receives changes. */
    private final class ChangeListener implements DirectorySource.Listener {
        @Override
        public void onDocuments(final long revision, final List<Document> documents) {
            onReached();
            mState.onChanges(revision, documents);
            next(mPace);
        }

        @Override
        public void onHistoryLost() {
            onReached();
            mLog.event("directory", "history-lost").put("revision", mState.revision()).write();
            mLoaded = false;
            call();
        }

        @Override
        public void onFailure(final String reason) {
            onUnreached(reason);
        }
    }
}
