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

/** Claims vouched for by a majority, or by the issuer of the key, with the real claim manager. */
final class ClaimMethod implements Method {
    private static final long TICK_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    /** Members that were not heard for this long are no longer asked. */
    private static final long DEAD_NANOS = TimeUnit.SECONDS.toNanos(5);

    private static final Duration DEADLINE = Duration.ofSeconds(8);
    private static final String DIGEST = "digest";

    private final Fleet mFleet;
    private final Ledger mLedger;
    private final boolean mIssues;
    private final Configuration mConfiguration;
    private final Map<Daemon, ClaimManager> mManagers = new HashMap<>();
    private final Map<Incarnation, Daemon> mDaemons = new HashMap<>();
    private final Map<Daemon, Map<Daemon, Long>> mHeard = new HashMap<>();

    ClaimMethod(final Fleet fleet, final Ledger ledger, final boolean issues) {
        mFleet = fleet;
        mLedger = ledger;
        mIssues = issues;
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
    public void onStart(final Daemon daemon) {
        final ClaimManager manager =
                new ClaimManager(
                        daemon.incarnation(),
                        daemon.slot(),
                        mFleet.queue().clock(daemon.skewMillis()),
                        (to, message) -> send(daemon, to, message),
                        record -> {},
                        "fleet secret".getBytes(StandardCharsets.UTF_8));
        manager.configure(mConfiguration);
        mManagers.put(daemon, manager);
        mDaemons.put(daemon.incarnation(), daemon);
        mHeard.put(daemon, new HashMap<>());
        tick(daemon);
    }

    private void send(final Daemon from, final Incarnation to, final PeerMessage message) {
        final Daemon receiver = mDaemons.get(to);
        if (receiver != null) {
            mFleet.deliver(
                    from,
                    receiver,
                    () -> mManagers.get(receiver).onMessage(from.incarnation(), message));
        }
    }

    /** Drives the manager's timer and keeps its view of the members, as heartbeats would. */
    private void tick(final Daemon daemon) {
        if (!daemon.isAlive()) {
            return;
        }
        final long now = mFleet.queue().nowNanos();
        final Map<Daemon, Long> heard = mHeard.get(daemon);
        for (final Daemon other : mFleet.daemons()) {
            if (other.isAlive() && mFleet.isLinked(daemon, other)) {
                heard.put(other, now);
                heard.keySet().removeIf(d -> d != other && d.slot() == other.slot());
            }
        }
        heard.values().removeIf(last -> now - last > DEAD_NANOS);
        final Map<Incarnation, Integer> live = new HashMap<>();
        heard.keySet().forEach(other -> live.put(other.incarnation(), other.slot()));
        final ClaimManager manager = mManagers.get(daemon);
        manager.updateLiveMembers(live);
        manager.onTimer(now);
        mFleet.queue().after(TICK_NANOS, () -> tick(daemon));
    }

    @Override
    public String newKey(final Daemon daemon, final long wallMillis) {
        return mIssues ? mManagers.get(daemon).issueKey() : Keys.uuid(wallMillis, mFleet.random());
    }

    @Override
    public void handle(final Daemon daemon, final String key, final Consumer<Boolean> reply) {
        final ClaimManager manager = mManagers.get(daemon);
        manager.begin(
                key,
                new RequestIdentity("customer", "charge", key),
                DIGEST,
                mFleet.queue().nowNanos() + DEADLINE.toNanos(),
                new ClaimListener() {
                    @Override
                    public void onClaimed(final long attempt) {
                        if (manager.markDispatched(attempt)) {
                            mLedger.run(key);
                            mFleet.queue().after(RUN_NANOS, () -> finish(daemon, attempt, reply));
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

    private void finish(final Daemon daemon, final long attempt, final Consumer<Boolean> reply) {
        if (daemon.isAlive()) {
            mManagers.get(daemon).finish(attempt, Outcome.RAN, 200, "text/plain", new byte[0]);
            reply.accept(true);
        }
    }
}
