package io.persimmonreel.fakes;

import java.util.ArrayDeque;
import java.util.Deque;

/** Keeps recent loads, so that load reports can lag behind like those of a real engine. */
final class LoadHistory {
    private static final long MINIMUM_SPACING_NANOS = 20_000_000;
    private static final int MAXIMUM_SAMPLES = 512;

    /**
     * Holds the load at one point in time.
     *
     * @param load the load
     * @param nanos the time at which it was taken
     */
    record Sample(EngineLoad load, long nanos) {}

    private final Deque<Sample> mSamples = new ArrayDeque<>();

    synchronized void add(final EngineLoad load, final long nowNanos) {
        if (!mSamples.isEmpty() && nowNanos - mSamples.getLast().nanos() < MINIMUM_SPACING_NANOS) {
            return;
        }
        mSamples.addLast(new Sample(load, nowNanos));
        if (mSamples.size() > MAXIMUM_SAMPLES) {
            mSamples.removeFirst();
        }
    }

    synchronized void clear() {
        mSamples.clear();
    }

    /** Returns the newest sample of at least the given age; its load is zero if there is none. */
    synchronized Sample newestOfAge(final long ageNanos, final long nowNanos) {
        Sample found = new Sample(new EngineLoad(0, 0, 0, 0), nowNanos - ageNanos);
        for (final Sample sample : mSamples) {
            if (nowNanos - sample.nanos() < ageNanos) {
                break;
            }
            found = sample;
        }
        return found;
    }
}
