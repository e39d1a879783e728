package io.persimmonreel.core.quarantine;

import io.persimmonreel.core.peer.PeerMessage.PartState;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

/**
 * Records the crashes since the last response to a request with one part of a prompt.
 *
 * @param crashes the number of crashes, 0 if a response has begun since
 * @param changedNanos the monotonic time of the last crash or, without crashes, of the response, in
 *     nanoseconds
 * @param trialEndNanos the monotonic time until which a trial may be in progress, in nanoseconds;
 *     not after {@code changedNanos} if there is none
 * @param rivals the other parts that were suspected at each of the crashes and not cleared since,
 *     one of which may be the cause instead
 */
record PartEvidence(int crashes, long changedNanos, long trialEndNanos, Set<Long> rivals) {
    /** Bounds what a peer reports; the refusal time is at its maximum long before. */
    private static final int MAXIMUM_CRASHES = 16;

    /** Bounds what a peer reports. */
    private static final long MAXIMUM_TRIAL_MILLIS = 10_000;

    /**
     * Bounds the size of notices; few parts are suspected at two crashes without being the cause.
     */
    private static final int MAXIMUM_RIVALS = 32;

    /** Copies the set of rivals, up to a limit. */
    PartEvidence {
        rivals =
                rivals.size() <= MAXIMUM_RIVALS
                        ? Set.copyOf(rivals)
                        : rivals.stream()
                                .limit(MAXIMUM_RIVALS)
                                .collect(Collectors.toUnmodifiableSet());
    }

    static PartEvidence cleared(final long nowNanos) {
        return new PartEvidence(0, nowNanos, nowNanos, Set.of());
    }

    /**
     * Adds a crash.
     *
     * @param before the evidence so far, null if there is none
     * @param crashNanos the monotonic time of the crash in nanoseconds
     * @param others the other parts that are suspected of this crash
     */
    static PartEvidence plusCrash(
            final PartEvidence before, final long crashNanos, final Set<Long> others) {
        final boolean first = before == null || before.crashes == 0;
        return new PartEvidence(
                first ? 1 : Math.min(before.crashes + 1, MAXIMUM_CRASHES),
                crashNanos,
                crashNanos,
                first ? others : common(before.rivals, others));
    }

    PartEvidence withTrialUntil(final long endNanos) {
        return new PartEvidence(crashes, changedNanos, endNanos, rivals);
    }

    PartEvidence withoutRival(final Long rival) {
        if (!rivals.contains(rival)) {
            return this;
        }
        final Set<Long> others = new HashSet<>(rivals);
        others.remove(rival);
        return new PartEvidence(crashes, changedNanos, trialEndNanos, others);
    }

    private static Set<Long> common(final Set<Long> some, final Set<Long> others) {
        final Set<Long> common = new HashSet<>(some);
        common.retainAll(others);
        return common;
    }

    /**
     * Returns whether a crash is further evidence: after a crash only if its request was sent later
     * than that, and after a response only if the crash came later.
     */
    boolean isEvidenceAfter(final long sentNanos, final long crashNanos) {
        return (crashes == 0 ? crashNanos : sentNanos) - changedNanos >= 0;
    }

    /**
     * Combines this evidence of a peer with what is known here. The later of a response and a crash
     * decides, except that a response clears crashes only up to its time.
     *
     * @param known what is known here, null if nothing
     */
    PartEvidence mergedWith(final PartEvidence known) {
        if (known == null) {
            return this;
        }
        final boolean reportIsOlder = changedNanos - known.changedNanos < 0;
        if (crashes == 0 || known.crashes == 0) {
            final PartEvidence later = reportIsOlder ? known : this;
            final boolean clearedBefore = crashes == 0 && reportIsOlder && known.crashes > 0;
            return clearedBefore
                    ? new PartEvidence(1, known.changedNanos, known.trialEndNanos, known.rivals)
                    : later;
        }
        return new PartEvidence(
                Math.max(crashes, known.crashes),
                reportIsOlder ? known.changedNanos : changedNanos,
                trialEndNanos - known.trialEndNanos < 0 ? known.trialEndNanos : trialEndNanos,
                crashes == known.crashes
                        ? common(rivals, known.rivals)
                        : crashes > known.crashes ? rivals : known.rivals);
    }

    PartState toState(final String service, final long part, final long nowNanos) {
        return new PartState(
                service,
                part,
                crashes,
                TimeUnit.NANOSECONDS.toMillis(nowNanos - changedNanos),
                TimeUnit.NANOSECONDS.toMillis(Math.max(0, trialEndNanos - nowNanos)),
                List.copyOf(rivals));
    }

    static PartEvidence of(final PartState state, final long nowNanos) {
        final long ageMillis = Math.max(0, state.ageMillis());
        final long trialMillis = Math.min(MAXIMUM_TRIAL_MILLIS, Math.max(0, state.trialMillis()));
        final long changedNanos = nowNanos - TimeUnit.MILLISECONDS.toNanos(ageMillis);
        return new PartEvidence(
                Math.min(MAXIMUM_CRASHES, Math.max(0, state.crashes())),
                changedNanos,
                trialMillis == 0
                        ? changedNanos
                        : nowNanos + TimeUnit.MILLISECONDS.toNanos(trialMillis),
                new HashSet<>(state.rivals()));
    }
}
