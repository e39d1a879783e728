package io.persimmonreel.experiment.ownership;

import io.persimmonreel.core.peer.Incarnation;
import java.util.ArrayList;
import java.util.List;

/** Contains the state of one process of a daemon, from its start to its end. */
final class DaemonProcess {
    private final int mSlot;
    private final Incarnation mIncarnation;
    private final long mSkewMillis;
    private final List<Runnable> mEndActions = new ArrayList<>();
    private boolean mRunning = true;
    private boolean mAccepting = true;

    DaemonProcess(final int slot, final Incarnation incarnation, final long skewMillis) {
        mSlot = slot;
        mIncarnation = incarnation;
        mSkewMillis = skewMillis;
    }

    int slot() {
        return mSlot;
    }

    Incarnation incarnation() {
        return mIncarnation;
    }

    long skewMillis() {
        return mSkewMillis;
    }

    boolean isRunning() {
        return mRunning;
    }

    boolean isAccepting() {
        return mRunning && mAccepting;
    }

    void stopAccepting() {
        mAccepting = false;
    }

    /** Ends the process and notifies those who wait for its answers. */
    void end() {
        mRunning = false;
        final List<Runnable> actions = List.copyOf(mEndActions);
        mEndActions.clear();
        actions.forEach(Runnable::run);
    }

    /** Adds an action to run when the process ends. */
    void onEnd(final Runnable action) {
        mEndActions.add(action);
    }
}
