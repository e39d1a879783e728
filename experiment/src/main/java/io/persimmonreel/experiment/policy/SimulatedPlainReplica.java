package io.persimmonreel.experiment.policy;

import io.persimmonreel.core.schedule.LoadReport;
import java.util.ArrayDeque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/** Simulates a plain replica: a fixed number of slots and a first-in, first-out queue. */
final class SimulatedPlainReplica implements SimulatedReplica {
    private final EventLoop mLoop;
    private final String mId;
    private final int mSlots;
    private double mSpeedFactor = 1;
    private boolean mUp = true;
    private final Set<SimulatedRequest> mRunning = new LinkedHashSet<>();
    private final ArrayDeque<SimulatedRequest> mWaiting = new ArrayDeque<>();

    SimulatedPlainReplica(final EventLoop loop, final String id, final int slots) {
        mLoop = loop;
        mId = id;
        mSlots = slots;
    }

    @Override
    public String id() {
        return mId;
    }

    @Override
    public boolean submit(final SimulatedRequest request) {
        if (!mUp) {
            return false;
        }
        request.mReplica = this;
        request.mHeldByReplica = true;
        mWaiting.add(request);
        admit();
        return true;
    }

    private void admit() {
        while (mRunning.size() < mSlots && !mWaiting.isEmpty()) {
            final SimulatedRequest request = mWaiting.poll();
            mRunning.add(request);
            mLoop.scheduleAfter(
                    (long) (request.plainServiceNanos() / mSpeedFactor), () -> complete(request));
        }
    }

    private void complete(final SimulatedRequest request) {
        if (mRunning.remove(request)) {
            request.mHeldByReplica = false;
            request.mFirstTokenNanos = mLoop.nowNanos();
            request.mListener.onCompleted(request);
            admit();
        }
    }

    @Override
    public void cancel(final SimulatedRequest request) {
        mRunning.remove(request);
        mWaiting.remove(request);
        request.mHeldByReplica = false;
        admit();
    }

    @Override
    public void pause(final SimulatedRequest request) {
        throw new UnsupportedOperationException("a plain replica cannot pause a request");
    }

    @Override
    public boolean resume(final SimulatedRequest request) {
        return false;
    }

    @Override
    public void resumeImported(final SimulatedRequest request) {
        throw new UnsupportedOperationException("a plain replica has no KV cache");
    }

    @Override
    public LoadReport report(final long ageMillis) {
        return new LoadReport(mId, mRunning.size(), mWaiting.size(), 0, 0, 0, ageMillis);
    }

    @Override
    public boolean isUp() {
        return mUp;
    }

    @Override
    public void crash() {
        mUp = false;
        final List<SimulatedRequest> broken = List.copyOf(mRunning);
        mRunning.clear();
        broken.forEach(request -> request.mListener.onBroken(request));
    }

    @Override
    public void restart() {
        mUp = true;
    }

    @Override
    public void scaleSpeed(final double factor) {
        mSpeedFactor *= factor;
    }

    @Override
    public int slots() {
        return mSlots;
    }

    @Override
    public int activeRequests() {
        return mRunning.size() + mWaiting.size();
    }

    @Override
    public double trueCompletionNanos(final SimulatedRequest request) {
        return request.plainServiceNanos() / mSpeedFactor;
    }
}
