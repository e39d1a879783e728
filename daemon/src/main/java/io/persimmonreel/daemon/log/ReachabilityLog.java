package io.persimmonreel.daemon.log;

import io.persimmonreel.core.replica.UpstreamReachability;
import java.util.concurrent.TimeUnit;

/** Logs when most replicas of an upstream become unreachable from this daemon, and the end. */
public final class ReachabilityLog implements UpstreamReachability.Listener {
    private final EventLog mLog;

    /**
     * Creates a listener.
     *
     * @param log receives the lines
     */
    public ReachabilityLog(final EventLog log) {
        mLog = log;
    }

    @Override
    public void onLost(final String upstream, final int unreachable, final int replicas) {
        mLog.event("reachability", "lost")
                .put("upstream", upstream)
                .put("unreachable", unreachable)
                .put("replicas", replicas)
                .write();
    }

    @Override
    public void onRestored(final String upstream, final long nanos) {
        mLog.event("reachability", "restored")
                .put("upstream", upstream)
                .put("for_ms", TimeUnit.NANOSECONDS.toMillis(nanos))
                .write();
    }
}
