package io.persimmonreel.daemon.relay;

import io.persimmonreel.core.grant.ClaimReport;
import io.persimmonreel.core.grant.GranterSilence;
import io.persimmonreel.core.grant.ReplicaSlots;
import io.persimmonreel.core.grant.SlotAnswer;
import io.persimmonreel.core.grant.SlotClaimant;
import io.persimmonreel.core.grant.SlotExchange;
import io.persimmonreel.core.grant.SlotListener;
import io.persimmonreel.core.grant.SlotRouting;
import io.persimmonreel.core.grant.SlotTerms;
import io.persimmonreel.core.peer.Incarnation;
import io.persimmonreel.core.peer.PeerMessage.SlotPlaces;
import io.persimmonreel.core.peer.PeerMessage.SlotTransfer;
import io.persimmonreel.core.replica.Replica;
import io.persimmonreel.core.time.TimeSource;
import io.persimmonreel.core.time.TimerService;
import io.persimmonreel.daemon.peer.PeerTransport;
import java.time.Duration;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Exchanges claims and grants of slots with peers, for plain requests in fleets with hubs. All
 * methods run on the event loop.
 */
final class SlotGrants implements SlotGate, SlotRouting, SlotListener {
    /** Releases wait this long for a claim that goes to the same peer. */
    private static final Duration RELEASE_DELAY = Duration.ofMillis(3);

    /** Predicted slots are looked for at most this often. */
    private static final long MINIMUM_DELAY_NANOS = 1_000_000;

    /** Interval at which the use of slots by long requests is stated. */
    private static final Duration RENEWAL_INTERVAL = Duration.ofMillis(400);

    /** Claim numbers of a later start are higher unless there are more claims in a millisecond. */
    private static final long NUMBERS_PER_MILLI = 1_000;

    private static final double NANOS_PER_MILLI = 1e6;

    private final PeerExchange mPeers;
    private final RelayService mService;
    private final TimeSource mTime;
    private final TimerService mTimers;
    private final SlotExchange<RelayCall> mExchange;
    private TimerService.Subscription mNextFlush = () -> {};
    private long mNextFlushNanos;
    private boolean mIsFlushScheduled;

    SlotGrants(
            final String address,
            final PeerExchange peers,
            final RelayService service,
            final PeerTransport transport,
            final TimeSource time,
            final TimerService timers) {
        mPeers = peers;
        mService = service;
        mTime = time;
        mTimers = timers;
        mExchange =
                new SlotExchange<>(
                        address,
                        time.wallMillis() * NUMBERS_PER_MILLI,
                        this,
                        this,
                        transport::send);
        timers.every("slot-uses", RENEWAL_INTERVAL, now -> onRenewal());
        service.scheduler().use(this);
        service.replicaObserver().use(this);
    }

    void onTransfer(final Incarnation from, final SlotTransfer transfer, final long nowNanos) {
        mExchange.onTransfer(from, transfer, nowNanos);
        flushWithin(Duration.ZERO);
    }

    void onPlaces(final SlotPlaces places) {
        mExchange.onPlaces(places);
    }

    /** Requests whose replica matters for other reasons than a free slot are not granted one. */
    @Override
    public boolean appliesTo(final RelayCall call) {
        return !mPeers.topology().isMesh() && call.task().work().outputTokens() <= 0;
    }

    @Override
    public SlotAnswer ask(
            final RelayCall call,
            final Collection<Replica> permitted,
            final Set<String> excluded,
            final long nowNanos) {
        final String upstream = call.task().upstream();
        final Set<String> usable =
                permitted.stream()
                        .filter(r -> r.isOpen(nowNanos) && !r.health().isEjected(nowNanos))
                        .map(replica -> replica.entry().id())
                        .filter(id -> !excluded.contains(id))
                        .collect(Collectors.toUnmodifiableSet());
        if (usable.isEmpty() || !mPeers.topology().isHub() && collector(upstream).isEmpty()) {
            release(call);
            return SlotAnswer.NONE;
        }
        final Set<String> unusable = new HashSet<>(excluded);
        mService.replicas().ofUpstream(upstream).forEach(r -> unusable.add(r.entry().id()));
        unusable.removeAll(usable);
        final SlotTerms terms =
                new SlotTerms(
                        upstream, call.task().rank(), call.task().timeLeft(nowNanos), unusable);
        final SlotAnswer answer = mExchange.claimant().ask(call, terms, nowNanos);
        flushSoon();
        return answer;
    }

    @Override
    public Optional<ClaimReport> report(final RelayCall call) {
        return appliesTo(call)
                ? Optional.of(
                        mExchange
                                .claimant()
                                .report(call, call.task().upstream(), mTime.monotonicNanos()))
                : Optional.empty();
    }

    @Override
    public void onSent(final RelayCall call, final Replica replica) {
        mExchange.claimant().onSent(call, call.task().upstream(), replica.entry().id());
    }

    @Override
    public void onServed(final RelayCall call, final long nowNanos) {
        release(call, (nowNanos - call.dispatch().sentNanos()) / NANOS_PER_MILLI);
    }

    @Override
    public void release(final RelayCall call) {
        release(call, 0);
    }

    @Override
    public void onStatedLoad(final Replica replica, final int requests, final long nowNanos) {
        mExchange.onStatedLoad(
                replica.entry().upstream(), replica.entry().id(), requests, nowNanos);
    }

    @Override
    public boolean isGranter(final String upstream) {
        return mPeers.topology().isHub() && collector(upstream).isEmpty();
    }

    @Override
    public Optional<Incarnation> collector(final String upstream) {
        return mPeers.collector(upstream);
    }

    @Override
    public boolean isForwardedFor(final Incarnation peer) {
        return mPeers.isForwardedFor(peer);
    }

    @Override
    public Optional<Incarnation> peer(final String address) {
        return Optional.ofNullable(mPeers.heardPeers(mTime.monotonicNanos()).get(address));
    }

    @Override
    public double share() {
        final int known = mPeers.topology().size();
        return Math.min(1.0, (double) mPeers.reachable(mTime.monotonicNanos()) / known);
    }

    @Override
    public Collection<ReplicaSlots> replicas(final String upstream) {
        final long now = mTime.monotonicNanos();
        final List<Replica> replicas = mService.replicas().ofUpstream(upstream);
        return replicas.stream()
                .map(
                        replica ->
                                new ReplicaSlots(
                                        replica.entry().id(),
                                        replica.entry().slots(),
                                        replica.isOpen(now) && !replica.health().isEjected(now),
                                        replica.load(now)))
                .toList();
    }

    @Override
    public void onEvent(final String upstream, final Event event) {
        mService.log().slots(upstream, event);
    }

    @Override
    public void onSilence(final String upstream, final GranterSilence silence) {
        mService.log().granters().silent(upstream, silence);
    }

    @Override
    public void onLateAnswer(final String upstream, final double afterMillis) {
        mService.log().granters().answeredLate(upstream, afterMillis);
    }

    @Override
    public void onClaim(final String upstream, final int rank, final ClaimOutcome outcome) {
        mService.log().granterClaim(upstream, rank, outcome);
    }

    @Override
    public void onOrdered(final String upstream, final int claims) {
        mService.log().granters().ordered(upstream, claims);
    }

    private void release(final RelayCall call, final double runMillis) {
        mExchange.claimant().release(call, runMillis);
        flushSoon();
    }

    private void onRenewal() {
        if (!mPeers.topology().isMesh()) {
            flush(mTime.monotonicNanos());
        }
    }

    private void flushSoon() {
        if (mExchange.hasClaims()) {
            flushWithin(Duration.ZERO);
        } else if (mExchange.hasReleases()) {
            flushWithin(RELEASE_DELAY);
        }
    }

    private void flushWithin(final Duration delay) {
        final long due = mTime.monotonicNanos() + delay.toNanos();
        if (!mIsFlushScheduled || due - mNextFlushNanos < 0) {
            mNextFlush.close();
            mIsFlushScheduled = true;
            mNextFlushNanos = due;
            mNextFlush = mTimers.after("slots", delay, this::flush);
        }
    }

    private void flush(final long nowNanos) {
        mNextFlush.close();
        mIsFlushScheduled = false;
        if (mExchange.hasClaims()) {
            // A pass after the time for answers finds the claims without one.
            mTimers.after(
                    "slot-answers",
                    Duration.ofNanos(SlotClaimant.ANSWER_NANOS + MINIMUM_DELAY_NANOS),
                    now -> mService.scheduler().placeAll());
        }
        mExchange.flush(nowNanos);
        mExchange.claimant().takeChanged().forEach(mService.scheduler()::requestPass);
        mExchange
                .nextNanos(nowNanos)
                .map(next -> Math.max(MINIMUM_DELAY_NANOS, next - nowNanos))
                .ifPresent(nanos -> flushWithin(Duration.ofNanos(nanos)));
        flushSoon();
    }
}
