package io.persimmonreel.core.claim;

import io.persimmonreel.core.peer.Incarnation;
import io.persimmonreel.core.peer.PeerMessage.ClaimPhase;
import io.persimmonreel.core.peer.PeerMessage.ClaimReply;
import io.persimmonreel.core.peer.PeerMessage.ClaimRequest;
import io.persimmonreel.core.peer.PeerMessage.ClaimVerdict;
import io.persimmonreel.core.request.RequestIdentity;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;

/**
 * Holds the claims that this member granted. The number of entries is bounded; a full table grants
 * no claim on a new identity, because an identity whose entry was dropped early could be granted
 * twice.
 */
final class ClaimTable {
    /** The value of {@link ClaimReply#notRunMillis} without a recent report of "not run". */
    static final long NO_RECENT_NOT_RUN = -1L;

    private final ConcurrentHashMap<RequestIdentity, ClaimEntry> mEntries =
            new ConcurrentHashMap<>();
    private final AtomicInteger mEntryCount = new AtomicInteger();
    private final int mMaximumEntries;

    ClaimTable(final int maximumEntries) {
        mMaximumEntries = maximumEntries;
    }

    /**
     * Grants or refuses a claim. An existing entry decides alone unless its claim was released.
     *
     * @param refusal the reply if this member can't confirm that the key was not used before, or
     *     null if it can
     * @param opaque whether the key carries no time of its creation
     */
    ClaimReply claim(
            final Incarnation from,
            final ClaimRequest request,
            final ClaimReply refusal,
            final boolean opaque,
            final long nowNanos) {
        final AtomicReference<ClaimReply> reply = new AtomicReference<>();
        mEntries.compute(
                request.identity(),
                (identity, entry) -> {
                    if (entry == null) {
                        return insert(from, request, refusal, opaque, nowNanos, reply);
                    }
                    return update(from, request, refusal, entry, nowNanos, reply);
                });
        return reply.get();
    }

    private ClaimEntry insert(
            final Incarnation from,
            final ClaimRequest request,
            final ClaimReply refusal,
            final boolean opaque,
            final long nowNanos,
            final AtomicReference<ClaimReply> reply) {
        if (refusal != null) {
            reply.set(refusal);
            return null;
        }
        if (mEntryCount.incrementAndGet() > mMaximumEntries) {
            mEntryCount.decrementAndGet();
            reply.set(reply(request, ClaimVerdict.FULL, null, "the claim table is full"));
            return null;
        }
        final ClaimEntry entry =
                new ClaimEntry(
                        from,
                        request.attempt(),
                        request.contentDigest(),
                        ClaimPhase.CLAIMED,
                        0,
                        nowNanos,
                        opaque,
                        ClaimEntry.NEVER);
        reply.set(granted(request, entry, nowNanos));
        return entry;
    }

    private static ClaimEntry update(
            final Incarnation from,
            final ClaimRequest request,
            final ClaimReply refusal,
            final ClaimEntry entry,
            final long nowNanos,
            final AtomicReference<ClaimReply> reply) {
        if (!entry.contentDigest().equals(request.contentDigest())) {
            reply.set(reply(request, ClaimVerdict.MISMATCH, entry, "another body was sent first"));
            return entry;
        }
        final boolean sameAttempt = entry.isHeldBy(from, request.attempt());
        if (entry.phase() == ClaimPhase.CLAIMED && sameAttempt) {
            reply.set(granted(request, entry, nowNanos));
            return entry;
        }
        if (entry.phase() != ClaimPhase.RELEASED || sameAttempt) {
            reply.set(reply(request, ClaimVerdict.HELD, entry, ""));
            return entry;
        }
        if (refusal != null) {
            reply.set(refusal);
            return entry;
        }
        final ClaimEntry next = entry.grantedTo(from, request.attempt(), nowNanos);
        reply.set(granted(request, next, nowNanos));
        return next;
    }

    private static ClaimReply granted(
            final ClaimRequest request, final ClaimEntry entry, final long nowNanos) {
        final long sinceNotRun = nowNanos - entry.notRunNanos();
        final boolean recent =
                entry.notRunNanos() != ClaimEntry.NEVER
                        && sinceNotRun <= ClaimLimits.CLAIM_WINDOW_NANOS;
        return new ClaimReply(
                request.attempt(),
                ClaimVerdict.GRANTED,
                entry.holder().id(),
                entry.phase(),
                0,
                recent ? TimeUnit.NANOSECONDS.toMillis(sinceNotRun) : NO_RECENT_NOT_RUN,
                "");
    }

    static ClaimReply reply(
            final ClaimRequest request,
            final ClaimVerdict verdict,
            final ClaimEntry entry,
            final String reason) {
        return new ClaimReply(
                request.attempt(),
                verdict,
                entry == null ? 0L : entry.holder().id(),
                entry == null ? ClaimPhase.CLAIMED : entry.phase(),
                entry == null ? 0 : entry.status(),
                NO_RECENT_NOT_RUN,
                reason);
    }

    Optional<ClaimEntry> find(final RequestIdentity identity) {
        return Optional.ofNullable(mEntries.get(identity));
    }

    /** Releases a claim whose attempt ended without a report that the request did not run. */
    void release(final Incarnation from, final long attempt, final RequestIdentity identity) {
        mEntries.computeIfPresent(
                identity,
                (key, entry) ->
                        entry.phase() == ClaimPhase.CLAIMED && entry.isHeldBy(from, attempt)
                                ? entry.released(entry.notRunNanos())
                                : entry);
    }

    /** Releases a claim whose holder reported the request as not run. */
    void releaseNotRun(
            final Incarnation from,
            final long attempt,
            final RequestIdentity identity,
            final long nowNanos) {
        mEntries.computeIfPresent(
                identity,
                (key, entry) ->
                        entry.phase() == ClaimPhase.CLAIMED && entry.isHeldBy(from, attempt)
                                ? entry.released(nowNanos)
                                : entry);
    }

    /** Marks a claim as finished; status 0 means that the outcome is unknown. */
    void finish(
            final Incarnation from,
            final long attempt,
            final RequestIdentity identity,
            final int status) {
        mEntries.computeIfPresent(
                identity,
                (key, entry) ->
                        entry.phase() == ClaimPhase.CLAIMED && entry.isHeldBy(from, attempt)
                                ? entry.finished(status)
                                : entry);
    }

    /** Drops entries whose retention has passed; no member grants their keys any more. */
    void expire(final ClaimParameters parameters, final long nowNanos) {
        for (final RequestIdentity identity : mEntries.keySet()) {
            mEntries.computeIfPresent(
                    identity,
                    (key, entry) -> {
                        final long age = nowNanos - entry.grantedNanos();
                        if (age <= parameters.retentionNanos(entry.opaque())) {
                            return entry;
                        }
                        mEntryCount.decrementAndGet();
                        return null;
                    });
        }
    }

    int size() {
        return mEntryCount.get();
    }
}
