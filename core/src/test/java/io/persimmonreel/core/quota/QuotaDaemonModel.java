package io.persimmonreel.core.quota;

import io.persimmonreel.core.quota.QuotaFleet.Request;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/** Drives the quotas of one daemon as the relay does. */
final class QuotaDaemonModel implements QuotaFleet.DaemonModel {
    private static final int LARGE_FLEET = 16;
    private static final long SETTLING_NANOS = TimeUnit.SECONDS.toNanos(5);
    private static final long SILENCE_NANOS = TimeUnit.MILLISECONDS.toNanos(1_200);
    private static final long EXPIRY_NANOS = TimeUnit.SECONDS.toNanos(20);

    private final QuotaFleet mFleet;
    private final int mIndex;
    private final FleetQuota mQuota;
    private final long mStartNanos;
    private final int mReportMillis;
    private final Set<Integer> mPeers = new HashSet<>();
    private final Map<Integer, Long> mHeardNanos = new HashMap<>();

    private record Report(Map<String, Long> use) {}

    private record Levels(Map<String, Long> levels) {}

    private QuotaDaemonModel(
            final QuotaFleet fleet,
            final int index,
            final QuotaTolerance tolerance,
            final long nowNanos) {
        mFleet = fleet;
        mIndex = index;
        mStartNanos = nowNanos;
        mReportMillis = fleet.size() > LARGE_FLEET ? 400 : 200;
        mQuota = new FleetQuota(tolerance);
        mQuota.configure(List.of(fleet.customer()), nowNanos);
        updateMembers(nowNanos);
    }

    static QuotaFleet.DaemonFactory factory(final QuotaTolerance tolerance) {
        return (fleet, index, nowNanos) -> new QuotaDaemonModel(fleet, index, tolerance, nowNanos);
    }

    @Override
    public boolean isLinkedTo(final int peer) {
        return true;
    }

    @Override
    public void offer(final Request request, final long nowNanos) {
        if (mQuota.tryUse(mFleet.customer(), request.units(), nowNanos)
                || mFleet.acceptsSends()
                        && mQuota.tryUseTolerated(mFleet.customer(), request.units(), nowNanos)) {
            mFleet.admit(mIndex, request);
        } else {
            mFleet.refuse(request);
        }
    }

    @Override
    public boolean trySend(final Request request, final long nowNanos) {
        return true;
    }

    @Override
    public void drop(final Request request, final long nowNanos) {
        mQuota.refund(mFleet.customer().name(), request.units(), nowNanos);
    }

    @Override
    public void onTick(final long nowNanos) {
        if (mFleet.nowMillis() % mReportMillis == 0) {
            updateMembers(nowNanos);
            final Map<String, Long> use = mQuota.takeUnreported();
            final int latency = mFleet.size() > LARGE_FLEET ? mReportMillis : 0;
            mPeers.forEach(peer -> mFleet.send(mIndex, peer, latency, new Report(use)));
        }
    }

    @Override
    public void onConnected(final int peer, final long nowNanos) {
        mPeers.add(peer);
        if (nowNanos - mStartNanos > SETTLING_NANOS) {
            mFleet.send(mIndex, peer, 0, new Levels(mQuota.levels()));
        }
    }

    @Override
    public void onDisconnected(final int peer, final long nowNanos) {
        mPeers.remove(peer);
    }

    @Override
    public void onMessage(final int from, final Object message, final long nowNanos) {
        if (message instanceof Report report) {
            mHeardNanos.put(from, nowNanos);
            mQuota.onPeerUse(report.use(), nowNanos);
        } else if (message instanceof Levels levels && nowNanos - mStartNanos < SETTLING_NANOS) {
            mQuota.onLevels(levels.levels());
        }
    }

    private void updateMembers(final long nowNanos) {
        mHeardNanos.values().removeIf(heard -> nowNanos - heard > EXPIRY_NANOS);
        final int known = 1 + mHeardNanos.size();
        final long recent =
                mHeardNanos.values().stream()
                        .filter(heard -> nowNanos - heard <= SILENCE_NANOS)
                        .count();
        mQuota.onMembers(1 + (int) recent, known == 1 ? 6 : known);
    }
}
