package io.persimmonreel.daemon.relay;

import io.persimmonreel.core.admission.OverloadOrder;
import io.persimmonreel.core.admission.OverloadOrder.Arrangement;
import io.persimmonreel.core.admission.OverloadOrder.Candidate;
import io.persimmonreel.core.admission.ServedShares;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.WeakHashMap;
import java.util.concurrent.TimeUnit;

/**
 * Orders the waiting requests of each upstream and reports the periods in which not all of them can
 * be on time. Not thread safe.
 */
final class PlacementOrder {
    /** Passes in which all requests fit for this long are the end of a period. */
    private static final long END_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final RelayLog mLog;
    private final Map<String, UpstreamState> mByUpstream = new HashMap<>();

    /** Holds what is known of one upstream. */
    private static final class UpstreamState {
        private final ServedShares mServed = new ServedShares();
        private boolean mIsOverloaded;
        private long mBegunNanos;
        private long mLastDeferredNanos;
        private int mMostDeferred;

        /** The requests deferred by the last pass, which may have ended since then. */
        private final Set<RelayCall> mDeferred = Collections.newSetFromMap(new WeakHashMap<>());
    }

    PlacementOrder(final RelayLog log) {
        mLog = log;
    }

    void onQueued(final RelayCall call, final long nowNanos) {
        state(call.task().upstream()).mServed.onArrived(call.task().rank(), nowNanos);
    }

    void onSent(final RelayCall call, final long nowNanos) {
        state(call.task().upstream()).mServed.onSent(call.task().rank(), nowNanos);
    }

    /**
     * Returns the waiting requests of an upstream in the order in which they should be placed.
     *
     * @param soonest the requests, sorted by the soonest start
     */
    List<WaitingRequest> arrange(
            final String upstream,
            final List<Candidate<WaitingRequest>> soonest,
            final PlacementPass pass,
            final long nowNanos) {
        final UpstreamState state = state(upstream);
        final Arrangement<WaitingRequest> arrangement =
                OverloadOrder.arrange(soonest, pass::startMillis, state.mServed, nowNanos);
        state.mDeferred.clear();
        arrangement.deferred().forEach(request -> state.mDeferred.add(request.call()));
        if (!arrangement.deferred().isEmpty()) {
            onDeferred(upstream, state, arrangement, nowNanos);
        }
        return arrangement.requests();
    }

    /** Returns whether the last pass placed a request later than by the soonest start. */
    boolean isDeferred(final RelayCall call) {
        return state(call.task().upstream()).mDeferred.contains(call);
    }

    /** Reports periods that have ended; called regularly, since no pass runs without requests. */
    void onTimer(final long nowNanos) {
        mByUpstream.forEach(
                (upstream, state) -> {
                    if (state.mIsOverloaded && nowNanos - state.mLastDeferredNanos >= END_NANOS) {
                        state.mIsOverloaded = false;
                        mLog.overloadEnded(
                                upstream,
                                state.mLastDeferredNanos - state.mBegunNanos,
                                state.mMostDeferred);
                    }
                });
    }

    private void onDeferred(
            final String upstream,
            final UpstreamState state,
            final Arrangement<WaitingRequest> arrangement,
            final long nowNanos) {
        if (!state.mIsOverloaded) {
            state.mIsOverloaded = true;
            state.mBegunNanos = nowNanos;
            state.mMostDeferred = 0;
            mLog.overloadBegan(
                    upstream, arrangement.requests().size(), arrangement.deferred().size());
        }
        state.mLastDeferredNanos = nowNanos;
        state.mMostDeferred = Math.max(state.mMostDeferred, arrangement.deferred().size());
    }

    private UpstreamState state(final String upstream) {
        return mByUpstream.computeIfAbsent(upstream, name -> new UpstreamState());
    }
}
