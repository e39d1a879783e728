package io.persimmonreel.daemon.directory;

import io.persimmonreel.core.peer.DirectoryVersion;
import io.persimmonreel.daemon.time.VirtualTimers;
import java.time.Duration;
import java.util.List;
import java.util.TreeMap;

/**
 * Serves documents in virtual time, and can be down or restored from a copy. A watch from a
 * revision that it does not have is answered with a lost history; a watch from a known one with all
 * documents.
 */
final class RestorableDirectory implements DirectorySource {
    private static final Duration RESPONSE_DELAY = Duration.ofMillis(5);

    private final VirtualTimers mTimers;
    private TreeMap<String, String> mDocuments = new TreeMap<>();
    private long mEra;
    private long mRevision;
    private boolean mDown;
    private boolean mFailsReads;
    private boolean mNextIsLate;
    private boolean mWatched;
    private int mReads;

    /** Holds the documents at one revision. */
    record Copy(TreeMap<String, String> documents, long revision) {}

    RestorableDirectory(final VirtualTimers timers, final long era, final long revision) {
        mTimers = timers;
        mEra = era;
        mRevision = revision;
    }

    RestorableDirectory put(final String name, final String text) {
        mDocuments.put(name, text);
        mRevision++;
        return this;
    }

    Copy copy() {
        return new Copy(new TreeMap<>(mDocuments), mRevision);
    }

    void restore(final Copy copy) {
        mDocuments = new TreeMap<>(copy.documents());
        mRevision = copy.revision();
        mEra++;
    }

    void setDown(final boolean down) {
        mDown = down;
    }

    /** Makes full reads fail after their first page. */
    void setFailsReads(final boolean failsReads) {
        mFailsReads = failsReads;
    }

    /** Makes the next call be answered as of now, but only after a second. */
    void answerNextCallLate() {
        mNextIsLate = true;
    }

    /** Returns whether a watch waits for a change. */
    boolean isWatched() {
        return mWatched;
    }

    int reads() {
        return mReads;
    }

    @Override
    public void readAll(final Listener listener) {
        mReads++;
        respond(listener, mFailsReads ? () -> listener.onFailure("down") : documents(listener));
    }

    @Override
    public void readHistory(final long revision, final Listener listener) {
        listener.onFailure("no history");
    }

    @Override
    public void readVersion(final Listener listener) {
        respond(
                listener,
                () -> listener.onDocuments(new DirectoryVersion(mEra, mRevision), List.of()));
    }

    @Override
    public void watch(final long afterRevision, final long waitMillis, final Listener listener) {
        if (mNextIsLate) {
            mNextIsLate = false;
            final Runnable late = documents(listener);
            mTimers.after("late", Duration.ofSeconds(1), now -> late.run());
        } else {
            poll(afterRevision, mTimers.monotonicNanos() + waitMillis * 1_000_000, listener);
        }
    }

    private void poll(final long afterRevision, final long endNanos, final Listener listener) {
        mTimers.after(
                "poll",
                RESPONSE_DELAY,
                now -> {
                    final long era = mEra;
                    mWatched = false;
                    if (mDown) {
                        listener.onFailure("down");
                    } else if (afterRevision > mRevision) {
                        listener.onHistoryLost(era);
                    } else if (afterRevision < mRevision || now >= endNanos) {
                        documents(listener).run();
                    } else {
                        mWatched = true;
                        poll(afterRevision, endNanos, listener);
                    }
                });
    }

    private void respond(final Listener listener, final Runnable response) {
        mTimers.after(
                "response",
                RESPONSE_DELAY,
                now -> {
                    if (mDown) {
                        listener.onFailure("down");
                    } else {
                        response.run();
                    }
                });
    }

    private Runnable documents(final Listener listener) {
        final DirectoryVersion version = new DirectoryVersion(mEra, mRevision);
        final TreeMap<String, String> documents = new TreeMap<>(mDocuments);
        return () -> listener.onDocuments(version, RestoreFixture.documents(documents));
    }
}
