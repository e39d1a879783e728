package io.persimmonreel.core.quota;

import java.util.SplittableRandom;

/**
 * States when the replicas of a model are cold: all the time, or after a crash of all of them.
 * After a crash they are down for a time, and each daemon reads their new entry some time after
 * that.
 */
final class ReplicaStarts {
    private static final double COLD_MILLIS = 3_000;
    private static final int MAXIMUM_ENTRY_MILLIS = 2_000;

    private final double mFirstWarmUpMillis;
    private final SplittableRandom mRandom;
    private int mCrashMillis = Integer.MAX_VALUE;
    private int mUpMillis = Integer.MAX_VALUE;

    private ReplicaStarts(final double firstWarmUpMillis, final long seed) {
        mFirstWarmUpMillis = firstWarmUpMillis;
        mRandom = new SplittableRandom(seed);
    }

    static ReplicaStarts alwaysCold() {
        return new ReplicaStarts(1e9, 0);
    }

    static ReplicaStarts warm(final long seed) {
        return new ReplicaStarts(0, seed);
    }

    void crash(final int nowMillis, final int downMillis) {
        mCrashMillis = nowMillis;
        mUpMillis = nowMillis + downMillis;
    }

    boolean hasCrashed(final int nowMillis) {
        return nowMillis >= mCrashMillis;
    }

    boolean isDown(final int nowMillis) {
        return hasCrashed(nowMillis) && nowMillis < mUpMillis;
    }

    int upMillis() {
        return mUpMillis;
    }

    int warmMillis() {
        return mUpMillis + (int) COLD_MILLIS;
    }

    double firstWarmUpMillis() {
        return mFirstWarmUpMillis;
    }

    double warmUpMillis() {
        return COLD_MILLIS;
    }

    /** Returns after which time a daemon reads the new entries. */
    int entryDelayMillis() {
        return mRandom.nextInt(MAXIMUM_ENTRY_MILLIS);
    }

    SplittableRandom random() {
        return mRandom;
    }
}
