package io.persimmonreel.experiment.ownership;

import io.persimmonreel.core.claim.ClaimListener;
import io.persimmonreel.core.claim.ClaimManager;
import io.persimmonreel.core.config.Configuration;
import io.persimmonreel.core.config.FleetSpec;
import io.persimmonreel.core.peer.Incarnation;
import io.persimmonreel.core.peer.PeerMessage;
import io.persimmonreel.core.request.Outcome;
import io.persimmonreel.core.request.Problem;
import io.persimmonreel.core.request.RequestIdentity;
import io.persimmonreel.core.service.ObjectiveSpec;
import io.persimmonreel.core.service.ServiceSpec;
import io.persimmonreel.core.service.Tier;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Runs a request after a claim on its key was granted by a majority of the daemons, or by the
 * issuer of the key. Uses the real claim manager.
 */
final class ClaimMethod implements AtMostOnceMethod {
    private static final long TICK_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    /** A member that was not heard for this long is no longer asked for claims. */
    private static final long DEAD_AFTER_NANOS = TimeUnit.SECONDS.toNanos(5);

    private static final Duration DEADLINE = Duration.ofSeconds(8);
    private static final String CONTENT_DIGEST = "digest";

    private final Fleet mFleet;
    private final RunCounter mRunCounter;
    private final boolean mIssuesKeys;
    private final Configuration mConfiguration;
    private final Map<DaemonProcess, ClaimManager> mClaimManagers = new HashMap<>();
    private final Map<Incarnation, DaemonProcess> mDaemons = new HashMap<>();
    private final Map<DaemonProcess, Map<DaemonProcess, Long>> mLastHeardNanos = new HashMap<>();

    ClaimMethod(final Fleet fleet, final RunCounter runCounter, final boolean issuesKeys) {
        mFleet = fleet;
        mRunCounter = runCounter;
        mIssuesKeys = issuesKeys;
        final FleetSpec spec =
                new FleetSpec(
                        "comparison",
                        Fleet.SIZE,
                        1,
                        Duration.ofSeconds(2),
                        Duration.ofMinutes(10),
                        List.of("zone"));
        final ServiceSpec service =
                new ServiceSpec(
                        "charge",
                        "payments",
                        Tier.URGENT,
                        false,
                        List.of(),
                        DEADLINE,
                        65_536,
                        0,
                        new ObjectiveSpec(0.99, DEADLINE, DEADLINE, DEADLINE));
        mConfiguration =
                new Configuration(
                        1L, "", "", spec, Map.of(), Map.of(), Map.of("charge", service), 1);
    }

    @Override
    public void onStart(final DaemonProcess daemon) {
        final ClaimManager manager =
                new ClaimManager(
                        daemon.incarnation(),
                        daemon.slot(),
                        mFleet.queue().timeSource(daemon.skewMillis()),
                        (to, message) -> send(daemon, to, message),
                        record -> {},
                        "fleet secret".getBytes(StandardCharsets.UTF_8));
        manager.configure(mConfiguration);
        mClaimManagers.put(daemon, manager);
        mDaemons.put(daemon.incarnation(), daemon);
        mLastHeardNanos.put(daemon, new HashMap<>());
        onTick(daemon);
    }

    private void send(final DaemonProcess from, final Incarnation to, final PeerMessage message) {
        final DaemonProcess receiver = mDaemons.get(to);
        if (receiver != null) {
            mFleet.deliver(
                    from,
                    receiver,
                    () -> mClaimManagers.get(receiver).onMessage(from.incarnation(), message));
        }
    }

    /** Calls the manager's timer and updates its live members, as heartbeats do in a real fleet. */
    private void onTick(final DaemonProcess daemon) {
        if (!daemon.isRunning()) {
            return;
        }
        final long now = mFleet.queue().nowNanos();
        final Map<DaemonProcess, Long> lastHeard = mLastHeardNanos.get(daemon);
        for (final DaemonProcess other : mFleet.daemons()) {
            if (other.isRunning() && mFleet.isLinked(daemon, other)) {
                lastHeard.put(other, now);
                lastHeard.keySet().removeIf(d -> d != other && d.slot() == other.slot());
            }
        }
        lastHeard.values().removeIf(last -> now - last > DEAD_AFTER_NANOS);
        final Map<Incarnation, Integer> live = new HashMap<>();
        lastHeard.keySet().forEach(other -> live.put(other.incarnation(), other.slot()));
        final ClaimManager manager = mClaimManagers.get(daemon);
        manager.updateLiveMembers(live);
        manager.onTimer(now);
        mFleet.queue().scheduleAfter(TICK_INTERVAL_NANOS, () -> onTick(daemon));
    }

    @Override
    public String newKey(final DaemonProcess daemon, final long wallMillis) {
        return mIssuesKeys
                ? mClaimManagers.get(daemon).issueKey()
                : UuidKeys.newKey(wallMillis, mFleet.random());
    }

    @Override
    public void handle(
            final DaemonProcess daemon, final String key, final Consumer<Boolean> reply) {
        final ClaimManager manager = mClaimManagers.get(daemon);
        manager.begin(
                key,
                new RequestIdentity("customer", "charge", key),
                CONTENT_DIGEST,
                mFleet.queue().nowNanos() + DEADLINE.toNanos(),
                new ClaimListener() {
                    @Override
                    public void onClaimed(final long attempt) {
                        if (manager.markDispatched(attempt)) {
                            mRunCounter.add(key);
                            mFleet.queue()
                                    .scheduleAfter(RUN_NANOS, () -> finish(daemon, attempt, reply));
                        } else {
                            reply.accept(false);
                        }
                    }

                    @Override
                    public void onRefused(final Problem problem) {
                        reply.accept(false);
                    }

                    @Override
                    public void onStoredAnswer(
                            final int status, final String contentType, final byte[] body) {
                        reply.accept(true);
                    }
                });
    }

    private void finish(
            final DaemonProcess daemon, final long attempt, final Consumer<Boolean> reply) {
        if (daemon.isRunning()) {
            mClaimManagers.get(daemon).finish(attempt, Outcome.RAN, 200, "text/plain", new byte[0]);
            reply.accept(true);
        }
    }
}
