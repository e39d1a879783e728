package io.persimmonreel.core.claim;

import io.persimmonreel.core.explain.DecisionLog;
import io.persimmonreel.core.explain.DecisionRecord;
import io.persimmonreel.core.peer.Incarnation;
import io.persimmonreel.core.request.RequestIdentity;
import io.persimmonreel.core.request.Step;
import io.persimmonreel.core.time.TimeSource;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicReference;

/** Holds what the classes of the claim protocol share: parameters, live members, clocks and log. */
final class ClaimContext {
    private final Incarnation mSelf;
    private final int mSlot;
    private final TimeSource mTime;
    private final DecisionLog mLog;
    private final AtomicReference<ClaimParameters> mParameters = new AtomicReference<>();
    private final AtomicReference<Map<Incarnation, Integer>> mLiveSlots;

    /** Claim groups with more live members than configured, and the monotonic time since when. */
    private final AtomicReference<Map<Integer, Long>> mOversizedSince =
            new AtomicReference<>(Map.of());

    ClaimContext(
            final Incarnation self, final int slot, final TimeSource time, final DecisionLog log) {
        mSelf = self;
        mSlot = slot;
        mTime = time;
        mLog = log;
        mLiveSlots = new AtomicReference<>(Map.of(self, slot));
    }

    Incarnation self() {
        return mSelf;
    }

    long nowNanos() {
        return mTime.monotonicNanos();
    }

    long wallMillis() {
        return mTime.wallMillis();
    }

    /** Returns the parameters, or null if no configuration has been accepted yet. */
    ClaimParameters parameters() {
        return mParameters.get();
    }

    void updateParameters(final ClaimParameters parameters) {
        mParameters.set(parameters);
        updateOversizedGroups();
    }

    Map<Incarnation, Integer> liveSlots() {
        return mLiveSlots.get();
    }

    void updateLiveSlots(final Map<Incarnation, Integer> liveSlots) {
        final Map<Incarnation, Integer> all = new HashMap<>(liveSlots);
        all.put(mSelf, mSlot);
        mLiveSlots.set(Map.copyOf(all));
        updateOversizedGroups();
    }

    private void updateOversizedGroups() {
        final ClaimParameters parameters = mParameters.get();
        if (parameters == null) {
            return;
        }
        final Map<Integer, Integer> counts = new HashMap<>();
        mLiveSlots
                .get()
                .values()
                .forEach(slot -> counts.merge(parameters.groupOf(slot), 1, Integer::sum));
        final long now = nowNanos();
        final Map<Integer, Long> earlier = mOversizedSince.get();
        final Map<Integer, Long> oversized = new HashMap<>();
        counts.forEach(
                (group, count) -> {
                    if (count > parameters.maximumDaemons()) {
                        oversized.put(group, earlier.getOrDefault(group, now));
                    }
                });
        if (!oversized.keySet().equals(earlier.keySet())) {
            log(
                    "",
                    "members counted",
                    mSelf.toString(),
                    "groups above maximumDaemons: " + oversized);
        }
        mOversizedSince.set(Map.copyOf(oversized));
    }

    /**
     * Tells whether a group has had more live members than configured for the uptime delay, so that
     * two quorums need not overlap. A shorter excess is harmless: a new member grants only issued
     * keys until that delay has passed, and a member that was replaced may still count as live.
     */
    boolean isOversized(final int group) {
        final Long since = mOversizedSince.get().get(group);
        return since != null && nowNanos() - since >= ClaimLimits.UPTIME_DELAY_NANOS;
    }

    /** Returns the live members of the claim group that an identity belongs to. */
    List<Incarnation> membersFor(final RequestIdentity identity, final ClaimParameters parameters) {
        final int group = parameters.groupOf(identity);
        return mLiveSlots.get().entrySet().stream()
                .filter(entry -> parameters.groupOf(entry.getValue()) == group)
                .map(Map.Entry::getKey)
                .sorted()
                .toList();
    }

    void log(
            final String requestId,
            final String decision,
            final String subject,
            final String reason) {
        mLog.add(
                new DecisionRecord(
                        mTime.wallMillis(), requestId, Step.CLAIM, decision, subject, reason));
    }
}
