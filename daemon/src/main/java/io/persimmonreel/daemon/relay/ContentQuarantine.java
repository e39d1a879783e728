package io.persimmonreel.daemon.relay;

import com.dynatrace.hash4j.hashing.HashValue128;
import com.dynatrace.hash4j.hashing.Hasher128;
import com.dynatrace.hash4j.hashing.Hashing;
import io.netty.buffer.ByteBufUtil;
import io.persimmonreel.core.peer.PeerMessage.QuarantineNotice;
import io.persimmonreel.core.quarantine.Fingerprint;
import io.persimmonreel.core.quarantine.Quarantine;
import io.persimmonreel.core.quarantine.QuarantineDecision;
import io.persimmonreel.core.replica.Replica;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;

/** Refuses or isolates requests whose content is suspected to crash replicas. Not thread safe. */
final class ContentQuarantine {
    private static final Hasher128 HASHER = Hashing.murmur3_128();

    private final Quarantine mQuarantine = new Quarantine();
    private Consumer<QuarantineNotice> mNoticeConsumer = notice -> {};

    /** Sets the consumer that sends notices to other daemons. */
    void sendNoticesTo(final Consumer<QuarantineNotice> consumer) {
        mNoticeConsumer = consumer;
    }

    void onNotice(final QuarantineNotice notice, final long nowNanos) {
        mQuarantine.onNotice(notice, nowNanos);
    }

    boolean isQuarantined(final RelayCall call, final long nowNanos) {
        return !mQuarantine.isEmpty()
                && mQuarantine.decision(fingerprint(call), nowNanos).kind()
                        == QuarantineDecision.Kind.QUARANTINED;
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

    void onSent(final RelayCall call) {
        if (!mQuarantine.isEmpty()) {
            mQuarantine.onDispatched(fingerprint(call), call.replica().entry().id());
        }
    }

    void onCompleted(final RelayCall call, final long nowNanos) {
        if (!mQuarantine.isEmpty()) {
            mQuarantine
                    .onCompleted(fingerprint(call), call.replica().entry().id(), true, nowNanos)
                    .forEach(mNoticeConsumer);
        }
    }

    /** Records that a replica crashed while requests ran on it. */
    void onCrash(final Replica replica, final Collection<RelayCall> running, final long nowNanos) {
        final List<Fingerprint> contents =
                running.stream().map(ContentQuarantine::fingerprint).toList();
        mQuarantine.onCrash(replica.entry().id(), contents, nowNanos).forEach(mNoticeConsumer);
    }

    void onTimer(final long nowNanos) {
        mQuarantine.onTimer(nowNanos);
    }

    /**
     * Computes the fingerprint of a request from its path, customer, session hash and body. Only
     * identical content has to match, so a hash of the bytes is sufficient.
     */
    private static Fingerprint fingerprint(final RelayCall call) {
        final RelayTask task = call.task();
        final HashValue128 hash =
                HASHER.hashStream()
                        .putString(task.request().request().uri())
                        .putString(task.customerName())
                        .putLong(task.work().sessionHash())
                        .putByteArray(ByteBufUtil.getBytes(task.request().body()))
                        .get();
        return new Fingerprint(task.upstream(), hash.toString(), hash.getLeastSignificantBits());
    }
}
