package io.persimmonreel.core.quarantine;

import io.persimmonreel.core.peer.PeerMessage.PartState;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

/**
 * Decides which parts of prompts are suspected of crashing replicas, and refuses requests with
 * them.
 *
 * <p>A part is suspected if its request had not begun its response when its replica crashed. A
 * response that begins clears all parts of its request, since a part that crashes replicas prevents
 * it. Of several requests that one outage ends, only the first counts: a further crash is evidence
 * only if its request was sent after the crash before.
 *
 * <p>Of the parts that were suspected together at each crash, only one need be the cause. So a
 * request that lacks one of them is tried at once, one at a time: its response clears the parts
 * that it has, its crash those that it lacks. A part that is left alone is tried only after a
 * refusal time, which grows with each crash. Not thread safe.
 */
public final class PartQuarantine {
    /** The number of crashes without a response in between after which a part is refused. */
    static final int REFUSAL_CRASHES = 2;

    private static final long FIRST_REFUSAL_NANOS = TimeUnit.SECONDS.toNanos(5);
    private static final int REFUSAL_GROWTH = 6;
    private static final long MAXIMUM_REFUSAL_NANOS = TimeUnit.MINUTES.toNanos(30);

    /** The refusal times of daemons differ by up to this factor, so that few try at once. */
    private static final double REFUSAL_SPREAD = 0.5;

    /** The time after which a trial without result is repeated. */
    private static final long TRIAL_NANOS = TimeUnit.SECONDS.toNanos(5);

    /** The time after which a crash is no longer evidence against a part that is not refused. */
    private static final long SUSPICION_NANOS = TimeUnit.SECONDS.toNanos(60);

    /** The time for which late reports of crashes before a response are ignored. */
    private static final long CLEARANCE_NANOS = TimeUnit.SECONDS.toNanos(10);

    private static final int MAXIMUM_ENTRIES = 4_096;

    /** Bounds the parts that are suspected of one crash, as callers may send many. */
    private static final int MAXIMUM_SUSPECTED_PARTS = 256;

    /** The maximum number of states for one peer, which fit into a frame. */
    private static final int MAXIMUM_STATES = 1_024;

    private final Map<PartKey, PartEvidence> mEvidence = new LinkedHashMap<>();
    private final double mRefusalFactor;
    private final int mMaximumEntries;

    /** Identifies a part of prompts for one service. */
    private record PartKey(String service, long part) {}

    /**
     * Describes a request that had not begun its response when its replica crashed.
     *
     * @param parts the parts of the prompt that other requests may share
     * @param sentNanos the monotonic time at which the request was sent, in nanoseconds
     */
    public record Suspect(List<Long> parts, long sentNanos) {
        /** Copies the list of parts. */
        public Suspect {
            parts = List.copyOf(parts);
        }
    }

    /**
     * Creates a quarantine without evidence.
     *
     * @param spread a random number from 0 to 1, by which the refusal times of daemons differ
     */
    public PartQuarantine(final double spread) {
        this(spread, MAXIMUM_ENTRIES);
    }

    PartQuarantine(final double spread, final int maximumEntries) {
        mRefusalFactor = 1 + REFUSAL_SPREAD * spread;
        mMaximumEntries = maximumEntries;
    }

    /**
     * Returns whether nothing is known against any part, so that every request is allowed.
     *
     * @return true if there is no evidence
     */
    public boolean isEmpty() {
        return mEvidence.isEmpty();
    }

    /**
     * Decides whether a request may be sent.
     *
     * @param service the service's id
     * @param parts the parts of the prompt that other requests may share
     * @param nowNanos the current monotonic time in nanoseconds
     * @return the decision
     */
    public PartDecision decide(
            final String service, final Collection<Long> parts, final long nowNanos) {
        long refusedNanos = 0;
        boolean trial = false;
        for (final Long part : parts) {
            final PartEvidence evidence = mEvidence.get(new PartKey(service, part));
            if (evidence != null && evidence.crashes() >= REFUSAL_CRASHES) {
                if (parts.containsAll(evidence.rivals())) {
                    refusedNanos = Math.max(refusedNanos, refusalEndNanos(evidence) - nowNanos);
                }
                refusedNanos = Math.max(refusedNanos, evidence.trialEndNanos() - nowNanos);
                trial = true;
            }
        }
        if (refusedNanos > 0) {
            return PartDecision.refuse(Math.max(1, TimeUnit.NANOSECONDS.toMillis(refusedNanos)));
        }
        return trial ? PartDecision.TRIAL : PartDecision.ALLOW;
    }

    /**
     * Records that a request is sent as a trial of its refused parts.
     *
     * @param service the service's id
     * @param parts the parts of the prompt that other requests may share
     * @param nowNanos the current monotonic time in nanoseconds
     * @return the states to send to all peers
     */
    public List<PartState> onTrial(
            final String service, final Collection<Long> parts, final long nowNanos) {
        final List<PartState> changed = new ArrayList<>();
        for (final Long part : parts) {
            final PartKey key = new PartKey(service, part);
            final PartEvidence evidence = mEvidence.get(key);
            if (evidence != null && evidence.crashes() >= REFUSAL_CRASHES) {
                put(key, evidence.withTrialUntil(nowNanos + TRIAL_NANOS), nowNanos, changed);
            }
        }
        return changed;
    }

    /**
     * Records that a replica crashed. If a part that is already refused was on it, other parts are
     * not suspected.
     *
     * @param service the service's id
     * @param suspects the requests of this daemon that had not begun their response there
     * @param begunParts parts of requests whose responses have begun and not ended, which can't be
     *     the cause
     * @param crashNanos the monotonic time of the crash in nanoseconds
     * @param nowNanos the current monotonic time in nanoseconds
     * @return the states to send to all peers
     */
    public List<PartState> onCrash(
            final String service,
            final List<Suspect> suspects,
            final Set<Long> begunParts,
            final long crashNanos,
            final long nowNanos) {
        final Map<PartKey, Long> sentByPart = lastSentByPart(service, suspects, begunParts);
        final Set<PartKey> refused = new HashSet<>(sentByPart.keySet());
        refused.removeIf(key -> crashesOf(key) < REFUSAL_CRASHES);
        final List<PartState> changed = new ArrayList<>();
        for (final PartKey key : refused.isEmpty() ? sentByPart.keySet() : refused) {
            final PartEvidence before = mEvidence.get(key);
            if (before == null || before.isEvidenceAfter(sentByPart.get(key), crashNanos)) {
                final Set<Long> others = partsOf(sentByPart.keySet());
                others.remove(key.part());
                put(key, PartEvidence.plusCrash(before, crashNanos, others), nowNanos, changed);
            }
        }
        return changed;
    }

    /**
     * Records that the response to a request has begun, which clears its parts.
     *
     * @param service the service's id
     * @param parts the parts of the prompt that other requests may share
     * @param nowNanos the current monotonic time in nanoseconds
     * @return the states to send to all peers
     */
    public List<PartState> onBegun(
            final String service, final Collection<Long> parts, final long nowNanos) {
        final List<PartState> changed = new ArrayList<>();
        for (final Long part : parts) {
            final PartKey key = new PartKey(service, part);
            if (crashesOf(key) > 0) {
                put(key, PartEvidence.cleared(nowNanos), nowNanos, changed);
                removeRival(key);
            }
        }
        return changed;
    }

    /**
     * Applies the states that a peer reports.
     *
     * @param states the states of parts as the peer knows them
     * @param nowNanos the current monotonic time in nanoseconds
     */
    public void onPeerStates(final List<PartState> states, final long nowNanos) {
        for (final PartState state : states) {
            final PartKey key = new PartKey(state.service(), state.part());
            final PartEvidence reported = PartEvidence.of(state, nowNanos);
            put(key, reported.mergedWith(mEvidence.get(key)), nowNanos, new ArrayList<>());
            if (crashesOf(key) == 0) {
                removeRival(key);
            }
        }
    }

    /**
     * Returns the states of suspected and refused parts, for a daemon that has just started.
     *
     * @param nowNanos the current monotonic time in nanoseconds
     * @return the states of at most 1,024 parts, those with the most crashes first
     */
    public List<PartState> states(final long nowNanos) {
        return mEvidence.entrySet().stream()
                .map(e -> e.getValue().toState(e.getKey().service(), e.getKey().part(), nowNanos))
                .filter(state -> state.crashes() > 0)
                .sorted(Comparator.comparingInt(PartState::crashes).reversed())
                .limit(MAXIMUM_STATES)
                .toList();
    }

    /**
     * Drops evidence that has expired. To be called at least once a minute.
     *
     * @param nowNanos the current monotonic time in nanoseconds
     */
    public void onTimer(final long nowNanos) {
        mEvidence.values().removeIf(evidence -> nowNanos - expiryNanos(evidence) >= 0);
    }

    /** Returns when the last request with each suspected part was sent, in nanoseconds. */
    private static Map<PartKey, Long> lastSentByPart(
            final String service, final List<Suspect> suspects, final Set<Long> begunParts) {
        final Map<PartKey, Long> sentByPart = new HashMap<>();
        for (final Suspect suspect : suspects) {
            for (final Long part : suspect.parts()) {
                final PartKey key = new PartKey(service, part);
                if (!begunParts.contains(part)
                        && (sentByPart.size() < MAXIMUM_SUSPECTED_PARTS
                                || sentByPart.containsKey(key))) {
                    sentByPart.merge(key, suspect.sentNanos(), (a, b) -> a - b >= 0 ? a : b);
                }
            }
        }
        return sentByPart;
    }

    /** Removes a cleared part from the rivals of other parts of its service. */
    private void removeRival(final PartKey cleared) {
        mEvidence.replaceAll(
                (key, evidence) ->
                        key.service().equals(cleared.service())
                                ? evidence.withoutRival(cleared.part())
                                : evidence);
    }

    private static Set<Long> partsOf(final Set<PartKey> keys) {
        return keys.stream().map(PartKey::part).collect(Collectors.toCollection(HashSet::new));
    }

    private int crashesOf(final PartKey key) {
        final PartEvidence evidence = mEvidence.get(key);
        return evidence == null ? 0 : evidence.crashes();
    }

    private long refusalEndNanos(final PartEvidence evidence) {
        long refusalNanos = FIRST_REFUSAL_NANOS;
        for (int i = REFUSAL_CRASHES;
                i < evidence.crashes() && refusalNanos < MAXIMUM_REFUSAL_NANOS;
                i++) {
            refusalNanos = Math.min(MAXIMUM_REFUSAL_NANOS, refusalNanos * REFUSAL_GROWTH);
        }
        return evidence.changedNanos() + (long) (refusalNanos * mRefusalFactor);
    }

    private long expiryNanos(final PartEvidence evidence) {
        if (evidence.crashes() == 0) {
            return evidence.changedNanos() + CLEARANCE_NANOS;
        }
        return evidence.crashes() < REFUSAL_CRASHES
                ? evidence.changedNanos() + SUSPICION_NANOS
                : refusalEndNanos(evidence) + MAXIMUM_REFUSAL_NANOS;
    }

    /**
     * Stores evidence and adds its state to a list. A full table drops its oldest evidence on a
     * part that is not refused; if there is none, the new evidence is ignored.
     */
    private void put(
            final PartKey key,
            final PartEvidence evidence,
            final long nowNanos,
            final List<PartState> changed) {
        if (!mEvidence.containsKey(key)
                && mEvidence.size() >= mMaximumEntries
                && !dropOldestNotRefused()) {
            return;
        }
        mEvidence.put(key, evidence);
        changed.add(evidence.toState(key.service(), key.part(), nowNanos));
    }

    private boolean dropOldestNotRefused() {
        final Iterator<PartEvidence> iterator = mEvidence.values().iterator();
        while (iterator.hasNext()) {
            if (iterator.next().crashes() < REFUSAL_CRASHES) {
                iterator.remove();
                return true;
            }
        }
        return false;
    }
}
