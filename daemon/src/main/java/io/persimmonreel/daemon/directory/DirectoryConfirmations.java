package io.persimmonreel.daemon.directory;

import io.persimmonreel.core.peer.DirectoryVersion;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.function.LongConsumer;

/**
 * Holds the listeners that wait until a version of the directory is applied that was read after
 * them. A read that is in progress confirms nothing to a later listener, since the directory may
 * have answered it before. Not thread safe.
 */
final class DirectoryConfirmations {
    /** The maximum number of versions that are awaited; the eldest ones are given up first. */
    private static final int MAXIMUM_AWAITED = 256;

    /** The maximum number of listeners that wait after a failure; the eldest are given up first. */
    private static final int MAXIMUM_LISTENERS = 4_096;

    private final List<LongConsumer> mAwaitingRead = new ArrayList<>();
    private final List<LongConsumer> mInRead = new ArrayList<>();
    private final Deque<Awaited> mAwaited = new ArrayDeque<>();
    private boolean mIsReading;

    /** Holds the listeners that wait for a version. */
    private record Awaited(DirectoryVersion version, List<LongConsumer> listeners) {}

    void add(final LongConsumer listener) {
        mAwaitingRead.add(listener);
    }

    /** Returns whether listeners wait for a read. */
    boolean isReadDue() {
        return !mAwaitingRead.isEmpty();
    }

    /** Records that a read of the version begins, unless another read is in progress. */
    boolean tryRead() {
        if (!tryOtherRead()) {
            return false;
        }
        mInRead.addAll(mAwaitingRead);
        mAwaitingRead.clear();
        return true;
    }

    /** Records that a read begins that confirms nothing, unless another one is in progress. */
    boolean tryOtherRead() {
        if (mIsReading) {
            return false;
        }
        mIsReading = true;
        return true;
    }

    /** Records the version that was read. */
    void onVersion(final DirectoryVersion version) {
        mIsReading = false;
        mAwaited.addLast(new Awaited(version, List.copyOf(mInRead)));
        mInRead.clear();
        if (mAwaited.size() > MAXIMUM_AWAITED) {
            mAwaited.removeFirst();
        }
    }

    /** Records that a read ended without a version; its listeners wait for the next one. */
    void onEnd() {
        mIsReading = false;
        mAwaitingRead.addAll(0, mInRead);
        mInRead.clear();
        if (mAwaitingRead.size() > MAXIMUM_LISTENERS) {
            mAwaitingRead.subList(0, mAwaitingRead.size() - MAXIMUM_LISTENERS).clear();
        }
    }

    /** Calls the listeners whose version is applied, and returns whether no others wait. */
    boolean onApplied(final DirectoryVersion applied, final long nowNanos) {
        final List<Awaited> reached = new ArrayList<>();
        mAwaited.removeIf(
                awaited -> {
                    final boolean isReached = !awaited.version().isAfter(applied);
                    if (isReached) {
                        reached.add(awaited);
                    }
                    return isReached;
                });
        reached.forEach(
                awaited -> awaited.listeners().forEach(listener -> listener.accept(nowNanos)));
        return mAwaited.isEmpty();
    }
}
