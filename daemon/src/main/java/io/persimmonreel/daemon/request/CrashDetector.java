package io.persimmonreel.daemon.request;

import io.persimmonreel.core.schedule.ReplicaAvailability;
import io.persimmonreel.core.service.ReplicaSpec;
import io.persimmonreel.core.time.TimeSource;
import io.persimmonreel.daemon.upstream.UpstreamException;
import io.persimmonreel.daemon.upstream.UpstreamFault;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Function;

/**
 * Detects replica crashes and reports them to the scheduler and the quarantine. A replica has
 * crashed if it refuses or breaks a probe after a connection broke, or if it lost a stream. The
 * contents of all requests that ran on it are reported as suspects, including those that the crash
 * ended.
 */
final class CrashDetector {
    /**
     * Covers the timeouts of a probe, so that requests that broke together are reported together.
     */
    static final long SUSPECT_WINDOW_NANOS = 5_000_000_000L;

    private record BrokenConnection(String fingerprint, long atNanos) {}

    private final RequestComponents mComponents;
    private final TimeSource mTime;
    private final Function<String, List<String>> mInFlightFingerprints;
    private final Map<String, List<BrokenConnection>> mBrokenConnections =
            new ConcurrentHashMap<>();
    private final Map<String, Long> mCrashTimes = new ConcurrentHashMap<>();
    private final Set<String> mReportedReplicas = ConcurrentHashMap.newKeySet();
    private final Set<String> mProbedReplicas = ConcurrentHashMap.newKeySet();

    /**
     * Creates a detector.
     *
     * @param components the parts of the request path
     * @param inFlightFingerprints returns the content fingerprints of the requests in flight at a
     *     replica
     */
    CrashDetector(
            final RequestComponents components,
            final Function<String, List<String>> inFlightFingerprints) {
        mComponents = components;
        mTime = components.time();
        mInFlightFingerprints = inFlightFingerprints;
    }

    /**
     * Handles a broken or refused connection by probing the replica.
     *
     * @param request the request whose connection broke
     * @param replica the replica
     * @param dispatched whether the request was dispatched and may have reached the replica
     */
    void onConnectionBroken(
            final ActiveRequest request, final ReplicaSpec replica, final boolean dispatched) {
        if (dispatched) {
            recordBreak(request, replica.id());
        }
        if (mProbedReplicas.add(replica.id())) {
            mComponents
                    .controlClient()
                    .readLoadReport(replica)
                    .whenComplete(
                            (report, error) -> {
                                mProbedReplicas.remove(replica.id());
                                if (error != null && isCrash(error)) {
                                    onCrash(replica.id());
                                }
                            });
        }
    }

    /**
     * Handles a stream that its replica no longer knows by reporting a crash.
     *
     * @param request the request whose stream was lost
     * @param replica the replica
     */
    void onStreamLost(final ActiveRequest request, final ReplicaSpec replica) {
        recordBreak(request, replica.id());
        reportCrash(replica.id());
    }

    /**
     * Records that a connection to a replica was opened, so that its next crash counts as a new
     * one.
     *
     * @param replica the replica's id
     */
    void onConnected(final String replica) {
        mReportedReplicas.remove(replica);
    }

    /**
     * Tells whether a replica crashed after a stream last made progress, so that it has lost the
     * stream.
     *
     * @param replica the replica's id
     * @param sinceNanos the monotonic time of the stream's last progress
     * @return true if a crash was confirmed after that time
     */
    boolean hasCrashedSince(final String replica, final long sinceNanos) {
        final Long crash = mCrashTimes.get(replica);
        return crash != null && crash - sinceNanos > 0;
    }

    private void onCrash(final String replica) {
        mCrashTimes.put(replica, mTime.monotonicNanos());
        mComponents
                .scheduler()
                .onAvailability(replica, ReplicaAvailability.DOWN, mTime.monotonicNanos());
        reportCrash(replica);
    }

    /** A replica that answers late or with an error is still running. */
    private static boolean isCrash(final Throwable error) {
        final Throwable cause = error instanceof CompletionException ? error.getCause() : error;
        return cause instanceof UpstreamException failure
                && (failure.fault() == UpstreamFault.NOT_SENT
                        || failure.fault() == UpstreamFault.BROKEN);
    }

    /**
     * Reports each crash once. A second report of the same crash would be made after some suspects
     * ended, and would name the remaining ones as the only suspects.
     */
    private void reportCrash(final String replica) {
        if (!mReportedReplicas.add(replica)) {
            return;
        }
        final long now = mTime.monotonicNanos();
        final Set<String> suspects = new LinkedHashSet<>(mInFlightFingerprints.apply(replica));
        final List<BrokenConnection> connections = mBrokenConnections.remove(replica);
        if (connections != null) {
            for (final BrokenConnection each : connections) {
                if (now - each.atNanos() <= SUSPECT_WINDOW_NANOS) {
                    suspects.add(each.fingerprint());
                }
            }
        }
        if (!suspects.isEmpty()) {
            mComponents.quarantine().onCrash(replica, List.copyOf(suspects), now);
        }
    }

    private void recordBreak(final ActiveRequest request, final String replica) {
        if (request.verdict() == null) {
            return;
        }
        final long now = mTime.monotonicNanos();
        mBrokenConnections.compute(
                replica,
                (id, last) -> {
                    final List<BrokenConnection> connections =
                            last == null ? new ArrayList<>() : last;
                    final Iterator<BrokenConnection> iterator = connections.iterator();
                    while (iterator.hasNext()) {
                        if (now - iterator.next().atNanos() > SUSPECT_WINDOW_NANOS) {
                            iterator.remove();
                        }
                    }
                    connections.add(new BrokenConnection(request.verdict().fingerprint(), now));
                    return connections;
                });
    }
}
