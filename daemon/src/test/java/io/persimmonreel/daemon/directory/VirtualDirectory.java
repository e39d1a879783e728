package io.persimmonreel.daemon.directory;

import io.persimmonreel.core.peer.DirectoryVersion;
import io.persimmonreel.daemon.time.VirtualTimers;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Serves one configuration document in virtual time, over a connection that can become silent. A
 * call on a silent connection times out, and the next call opens a connection that works.
 */
final class VirtualDirectory implements DirectorySource {
    /** The name of the configuration, whose content is its version. */
    static final String CONFIGURATION = "config";

    private static final Duration RESPONSE_DELAY = Duration.ofMillis(5);

    private final VirtualTimers mTimers;
    private final Duration mResponseTimeout;
    private long mEra;
    private long mRevision = 1;
    private long mOldestRevision;
    private int mConnection;
    private int mFirstWorkingConnection;
    private long mFirstUsableRevision;

    VirtualDirectory(final VirtualTimers timers, final Duration responseTimeout) {
        mTimers = timers;
        mResponseTimeout = responseTimeout;
    }

    /** Publishes the next version of the configuration and returns it. */
    long publish() {
        return ++mRevision;
    }

    /** Drops the changes so far, so that a watch from before has to read all documents. */
    void dropHistory() {
        mOldestRevision = mRevision;
    }

    /** Makes all responses with a change so far unusable, for example because they are too long. */
    void makeChangesUnusable() {
        mFirstUsableRevision = mRevision;
    }

    /** Silences the open connection, also for a call that is in progress. */
    void silenceConnection() {
        mFirstWorkingConnection = mConnection + 1;
    }

    @Override
    public void readHistory(final long revision, final Listener listener) {
        listener.onFailure("no history");
    }

    @Override
    public void readVersion(final Listener listener) {
        mTimers.after(
                "version",
                RESPONSE_DELAY,
                now -> listener.onDocuments(new DirectoryVersion(mEra, mRevision), List.of()));
    }

    @Override
    public void readAll(final Listener listener) {
        final Call call = new Call(listener, Duration.ZERO);
        mTimers.after("response", RESPONSE_DELAY, now -> call.respond(this::sendDocuments));
    }

    @Override
    public void watch(final long afterRevision, final long waitMillis, final Listener listener) {
        final Duration wait = Duration.ofMillis(waitMillis);
        final long endNanos = mTimers.monotonicNanos() + wait.toNanos();
        poll(new Call(listener, wait), afterRevision, endNanos);
    }

    private void poll(final Call call, final long afterRevision, final long endNanos) {
        mTimers.after(
                "response",
                RESPONSE_DELAY,
                now -> {
                    if (afterRevision < mOldestRevision) {
                        call.respond(listener -> listener.onHistoryLost(mEra));
                    } else if (afterRevision < mFirstUsableRevision) {
                        call.respond(listener -> listener.onUnusable("too long"));
                    } else if (mRevision > afterRevision || now >= endNanos) {
                        call.respond(this::sendDocuments);
                    } else {
                        poll(call, afterRevision, endNanos);
                    }
                });
    }

    private void sendDocuments(final Listener listener) {
        final byte[] version = Long.toString(mRevision).getBytes(StandardCharsets.UTF_8);
        listener.onDocuments(
                new DirectoryVersion(mEra, mRevision),
                List.of(new Document(CONFIGURATION, Optional.of(version))));
    }

    /** Reports a response or a timeout of one call, once. */
    private final class Call {
        private final Listener mListener;
        private final int mCallConnection = mConnection;
        private boolean mDone;

        Call(final Listener listener, final Duration wait) {
            mListener = listener;
            mTimers.after("timeout", wait.plus(mResponseTimeout), now -> timeOut());
        }

        void respond(final Consumer<Listener> response) {
            if (!mDone && mCallConnection >= mFirstWorkingConnection) {
                mDone = true;
                response.accept(mListener);
            }
        }

        private void timeOut() {
            if (!mDone) {
                mDone = true;
                mConnection++;
                mListener.onFailure("no response");
            }
        }
    }
}
