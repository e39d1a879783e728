package io.persimmonreel.core.schedule;

import io.persimmonreel.core.service.UpstreamKind;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;

/** Summarizes the replicas of one upstream at intervals, so that decisions don't scan them all. */
final class UpstreamStatistics {
    private static final long OUTLIER_INTERVAL_NANOS = 5_000_000_000L;
    private static final double OUTLIER_RATIO = 3;
    private static final double OUTLIER_LIMIT_FACTOR = 0.5;
    private static final int MINIMUM_REPLICAS_FOR_MEDIAN = 3;
    private static final double NANOS_PER_SECOND = 1e9;

    private final UpstreamKind mKind;
    private double mCapacity;
    private double mBestPrefillTokensPerSecond;
    private double mBestNanosPerToken;
    private double mTypicalPrefillTokensPerSecond;
    private double mTypicalNanosPerToken;
    private double mBestLatencyNanos;
    private double mTypicalLatencyNanos;
    private int mServableReplicas;
    private long mOutliersNanos;
    private boolean mOutliersUpdated;

    UpstreamStatistics(final UpstreamKind kind) {
        mKind = kind;
    }

    /** Returns the number of requests that the servable replicas can run at one time. */
    double capacity() {
        return mCapacity;
    }

    int servableReplicas() {
        return mServableReplicas;
    }

    void refresh(final ReplicaTable table, final long nowNanos) {
        final ReplicaState[] replicas = table.subset();
        mCapacity = 0;
        mServableReplicas = 0;
        mBestPrefillTokensPerSecond = 1;
        mBestNanosPerToken = Double.MAX_VALUE;
        mBestLatencyNanos = Double.MAX_VALUE;
        double prefill = 0;
        double decode = 0;
        double latency = 0;
        for (final ReplicaState replica : replicas) {
            if (replica.isServable()) {
                final SpeedEstimate speed = replica.speed();
                mServableReplicas++;
                mCapacity += replica.limit(nowNanos);
                prefill += speed.prefillTokensPerSecond();
                decode += speed.nanosPerToken();
                latency += speed.latencyNanos();
                mBestPrefillTokensPerSecond =
                        Math.max(mBestPrefillTokensPerSecond, speed.prefillTokensPerSecond());
                mBestNanosPerToken = Math.min(mBestNanosPerToken, speed.nanosPerToken());
                mBestLatencyNanos = Math.min(mBestLatencyNanos, speed.latencyNanos());
            }
        }
        mCapacity *= (double) table.all().length / replicas.length;
        if (mServableReplicas > 0) {
            mTypicalPrefillTokensPerSecond = prefill / mServableReplicas;
            mTypicalNanosPerToken = decode / mServableReplicas;
            mTypicalLatencyNanos = latency / mServableReplicas;
        }
        if (!mOutliersUpdated || nowNanos - mOutliersNanos >= OUTLIER_INTERVAL_NANOS) {
            mOutliersUpdated = true;
            mOutliersNanos = nowNanos;
            findOutliers(replicas);
        }
    }

    /**
     * Returns the service time in nanoseconds at the fastest replica when idle, 0 if none is up.
     */
    double bestServiceNanos(final int promptTokens, final int outputTokens) {
        if (mServableReplicas == 0) {
            return 0;
        }
        return mKind == UpstreamKind.PLAIN
                ? mBestLatencyNanos * 0.5
                : promptTokens * NANOS_PER_SECOND / mBestPrefillTokensPerSecond
                        + outputTokens * mBestNanosPerToken;
    }

    double typicalFirstTokenNanos(final int promptTokens) {
        if (mServableReplicas == 0) {
            return 0;
        }
        return mKind == UpstreamKind.PLAIN
                ? mTypicalLatencyNanos
                : promptTokens * NANOS_PER_SECOND / mTypicalPrefillTokensPerSecond
                        + mTypicalNanosPerToken;
    }

    double typicalServiceNanos(final int promptTokens, final int outputTokens) {
        final double decode =
                mKind == UpstreamKind.PLAIN || mServableReplicas == 0
                        ? 0
                        : outputTokens * mTypicalNanosPerToken;
        return typicalFirstTokenNanos(promptTokens) + decode;
    }

    private void findOutliers(final ReplicaState[] replicas) {
        final Map<String, double[]> times = new HashMap<>();
        for (final ReplicaState replica : replicas) {
            if (replica.speed().isMeasured()) {
                times.merge(
                        replica.spec().generation(),
                        new double[] {comparedNanos(replica)},
                        UpstreamStatistics::concat);
            }
        }
        times.values().forEach(Arrays::sort);
        for (final ReplicaState replica : replicas) {
            final double[] sorted = times.get(replica.spec().generation());
            final boolean outlier =
                    sorted != null
                            && sorted.length >= MINIMUM_REPLICAS_FOR_MEDIAN
                            && comparedNanos(replica) > OUTLIER_RATIO * sorted[sorted.length / 2];
            replica.outlierLimitFactor(outlier ? OUTLIER_LIMIT_FACTOR : 1);
        }
    }

    private double comparedNanos(final ReplicaState replica) {
        return mKind == UpstreamKind.PLAIN
                ? replica.speed().latencyNanos()
                : replica.speed().nanosPerToken();
    }

    private static double[] concat(final double[] first, final double[] second) {
        final double[] both = Arrays.copyOf(first, first.length + second.length);
        System.arraycopy(second, 0, both, first.length, second.length);
        return both;
    }
}
