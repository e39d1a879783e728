package io.persimmonreel.daemon.relay;

import com.dynatrace.hash4j.hashing.HashValue128;
import com.dynatrace.hash4j.hashing.Hasher128;
import com.dynatrace.hash4j.hashing.Hashing;
import io.persimmonreel.core.peer.PeerMessage;
import io.persimmonreel.core.peer.PeerMessage.PartNotice;
import io.persimmonreel.core.peer.PeerMessage.PartState;
import io.persimmonreel.core.peer.PeerMessage.QuarantineNotice;
import io.persimmonreel.core.quarantine.Fingerprint;
import io.persimmonreel.core.quarantine.PartDecision;
import io.persimmonreel.core.quarantine.PartQuarantine;
import io.persimmonreel.core.quarantine.Quarantine;
import io.persimmonreel.core.quarantine.QuarantineDecision;
import io.persimmonreel.core.replica.Replica;
import io.persimmonreel.daemon.log.QuarantineLog;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;

/**
 * Refuses or isolates requests whose content, or a part of whose prompt, is suspected to crash
 * replicas. Not thread safe.
 */
final class ContentQuarantine {
    private static final Hasher128 HASHER = Hashing.murmur3_128();

    /** The Retry-After time for callers whose content crashes replicas. */
    private static final long CONTENT_RETRY_AFTER_MILLIS = 10_000;

    /** The maximum number of notices on contents for a daemon that has just connected. */
    private static final int MAXIMUM_NOTICES = 1_024;

    /** The maximum number of notices on contents that are repeated at a time. */
    private static final int MAXIMUM_REPEATED_NOTICES = 64;

    private final QuarantineLog mLog;
    private final Quarantine mQuarantine = new Quarantine();
    private final PartQuarantine mParts;
    private Consumer<PeerMessage> mNoticeConsumer = notice -> {};

    /**
     * Describes why and for how long a request is refused.
     *
     * @param reason the reason, one short sentence
     * @param retryAfterMillis the time after which the caller may retry, in milliseconds
     */
    record Refusal(String reason, long retryAfterMillis) {}

    ContentQuarantine(final RelayLog log, final long seed) {
        mLog = log.quarantine();
        mParts = new PartQuarantine(new SplittableRandom(seed).nextDouble());
    }

    /** Describes a request whose connection broke, before the request ends. */
    static BrokenExchange brokenExchange(final RelayCall call) {
        return new BrokenExchange(
                fingerprint(call),
                sharedParts(call),
                call.dispatch().sentNanos(),
                call.dispatch().hasEvents());
    }

    /** Sets the consumer that sends notices to other daemons. */
    void sendNoticesTo(final Consumer<PeerMessage> consumer) {
        mNoticeConsumer = consumer;
    }

    /** Applies a notice of a peer; returns whether it reported anything new. */
    boolean onNotice(final QuarantineNotice notice, final long nowNanos) {
        return mQuarantine.onNotice(notice, nowNanos);
    }

    void onPartNotice(final PartNotice notice, final long nowNanos) {
        mParts.onPeerStates(notice.parts(), nowNanos);
        notice.parts().forEach(state -> mLog.promptPart("part-told", state));
    }

    /** Returns what a daemon that has just connected must know. */
    List<PeerMessage> knownEvidence(final long nowNanos) {
        final List<PeerMessage> known =
                new ArrayList<>(mQuarantine.notices(MAXIMUM_NOTICES, nowNanos));
        final List<PartState> states = mParts.states(nowNanos);
        if (!states.isEmpty()) {
            known.add(new PartNotice(states));
        }
        return known;
    }

    /** Returns the notices of refused contents, to be repeated in case that some were lost. */
    List<QuarantineNotice> refusalNotices(final long nowNanos) {
        return mQuarantine.refusalNotices(MAXIMUM_REPEATED_NOTICES, nowNanos);
    }

    /**
     * Returns why a request must not be sent now because of its content or a part of its prompt, or
     * empty if it may be.
     */
    Optional<Refusal> refusal(final RelayCall call, final long nowNanos) {
        final Optional<Refusal> refusal = refusalOfContent(call, nowNanos);
        return refusal.isPresent() ? refusal : refusalOfParts(call, nowNanos);
    }

    private Optional<Refusal> refusalOfContent(final RelayCall call, final long nowNanos) {
        if (mQuarantine.isEmpty()) {
            return Optional.empty();
        }
        final Fingerprint content = fingerprint(call);
        if (mQuarantine.decision(content, nowNanos).kind() != QuarantineDecision.Kind.QUARANTINED) {
            return Optional.empty();
        }
        mLog.request(
                "suspect-refused", call.task().id(), content.digest(), RelayLog.replicaId(call));
        return Optional.of(
                new Refusal(
                        "requests of this content crashed replicas", CONTENT_RETRY_AFTER_MILLIS));
    }

    private boolean isSuspected(final Fingerprint content, final long nowNanos) {
        return mQuarantine.decision(content, nowNanos).kind() != QuarantineDecision.Kind.NORMAL;
    }

    private Optional<Refusal> refusalOfParts(final RelayCall call, final long nowNanos) {
        final PartDecision decision = decideParts(call, nowNanos);
        return decision.kind() == PartDecision.Kind.REFUSE
                ? Optional.of(
                        new Refusal(
                                "a part of the prompt crashed replicas",
                                decision.retryAfterMillis()))
                : Optional.empty();
    }

    /**
     * Returns the replicas that a request should not be sent to: those that already failed for it,
     * and those that run other suspected content.
     */
    Set<String> excludedReplicas(final RelayCall call, final long nowNanos) {
        if (mQuarantine.isEmpty()) {
            return call.excludedReplicas();
        }
        final Set<String> excluded = new HashSet<>(call.excludedReplicas());
        excluded.addAll(mQuarantine.decision(fingerprint(call), nowNanos).excludedReplicas());
        return excluded;
    }

    void onSent(final RelayCall call, final long nowNanos) {
        if (!mQuarantine.isEmpty()) {
            final Fingerprint content = fingerprint(call);
            mQuarantine.onDispatched(content, call.replica().entry().id());
            if (isSuspected(content, nowNanos)) {
                mLog.request(
                        "suspect-sent",
                        call.task().id(),
                        content.digest(),
                        RelayLog.replicaId(call));
            }
        }
        if (decideParts(call, nowNanos).kind() == PartDecision.Kind.TRIAL) {
            report("part-tried", mParts.onTrial(service(call), sharedParts(call), nowNanos));
        }
    }

    /** Records that the response to a request has begun, which shows that its parts are sound. */
    void onBegun(final RelayCall call, final long nowNanos) {
        if (!mParts.isEmpty()) {
            report("part-cleared", mParts.onBegun(service(call), sharedParts(call), nowNanos));
        }
    }

    void onCompleted(final RelayCall call, final long nowNanos) {
        onBegun(call, nowNanos);
        if (!mQuarantine.isEmpty()) {
            mQuarantine
                    .onCompleted(fingerprint(call), call.replica().entry().id(), true, nowNanos)
                    .forEach(mNoticeConsumer);
        }
    }

    /**
     * Records that a replica crashed.
     *
     * @param replica the replica
     * @param broken the requests that ran there
     * @param active all requests of this daemon
     * @param crashNanos the monotonic time of the crash in nanoseconds
     * @param nowNanos the current monotonic time in nanoseconds
     */
    void onCrash(
            final Replica replica,
            final Collection<BrokenExchange> broken,
            final Collection<RelayCall> active,
            final long crashNanos,
            final long nowNanos) {
        final List<Fingerprint> contents = broken.stream().map(BrokenExchange::content).toList();
        for (final QuarantineNotice notice :
                mQuarantine.onCrash(replica.entry().id(), contents, nowNanos)) {
            mLog.content("content-suspected", notice);
            mNoticeConsumer.accept(notice);
        }
        final List<PartQuarantine.Suspect> suspects =
                broken.stream()
                        .filter(exchange -> !exchange.begun())
                        .map(
                                exchange ->
                                        new PartQuarantine.Suspect(
                                                exchange.sharedParts(), exchange.sentNanos()))
                        .toList();
        final String service = replica.entry().upstream();
        report(
                "part-suspected",
                mParts.onCrash(
                        service, suspects, begunParts(service, active), crashNanos, nowNanos));
    }

    void onTimer(final long nowNanos) {
        mQuarantine.onTimer(nowNanos);
        mParts.onTimer(nowNanos);
    }

    private PartDecision decideParts(final RelayCall call, final long nowNanos) {
        return mParts.isEmpty()
                ? PartDecision.ALLOW
                : mParts.decide(service(call), sharedParts(call), nowNanos);
    }

    /** Logs changes and sends them to the other daemons. */
    private void report(final String event, final List<PartState> changed) {
        if (!changed.isEmpty()) {
            changed.forEach(state -> mLog.promptPart(event, state));
            mNoticeConsumer.accept(new PartNotice(changed));
        }
    }

    /** Returns the parts of the requests whose responses are arriving. */
    private static Set<Long> begunParts(final String service, final Collection<RelayCall> active) {
        final Set<Long> parts = new HashSet<>();
        for (final RelayCall call : active) {
            if (call.isAtReplica()
                    && call.dispatch().hasEvents()
                    && service(call).equals(service)) {
                parts.addAll(sharedParts(call));
            }
        }
        return parts;
    }

    private static String service(final RelayCall call) {
        return call.task().upstream();
    }

    private static List<Long> sharedParts(final RelayCall call) {
        return call.task().request().callerHeaders().sharedPartIds();
    }

    /**
     * Computes the fingerprint of a request from its path, customer and body. Only identical
     * content has to match, so a hash of the bytes is sufficient.
     */
    private static Fingerprint fingerprint(final RelayCall call) {
        final RelayTask task = call.task();
        final HashValue128 hash =
                HASHER.hashStream()
                        .putString(task.request().request().uri())
                        .putString(task.customerName())
                        .putLong(task.request().bodyHash().getMostSignificantBits())
                        .putLong(task.request().bodyHash().getLeastSignificantBits())
                        .get();
        return new Fingerprint(task.upstream(), hash.toString(), hash.getLeastSignificantBits());
    }
}
