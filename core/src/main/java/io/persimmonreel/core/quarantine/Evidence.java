package io.persimmonreel.core.quarantine;

import io.persimmonreel.core.peer.PeerMessage.QuarantineNotice;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

/**
 * Records the crashes during which one request content, or a similar one, was running.
 *
 * @param fingerprint the fingerprint of the first such content
 * @param crashes the crashes in order of time, not empty
 * @param quarantined whether the content is refused
 */
record Evidence(Fingerprint fingerprint, List<Crash> crashes, boolean quarantined) {
    /**
     * The number of outages with the content and without a complete response in between after which
     * it is refused, whatever else was running.
     */
    private static final int REFUSAL_OUTAGES = 3;

    /** Crashes within this time count as one outage, which may have any cause. */
    private static final long OUTAGE_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

    private static final int MAXIMUM_CRASHES = 16;

    Evidence {
        crashes = List.copyOf(crashes);
    }

    static Evidence of(final Fingerprint fingerprint, final Crash crash) {
        return new Evidence(fingerprint, List.of(crash), false);
    }

    /**
     * Adds a crash; the content is refused if it is the only suspect, or after too many crashes.
     */
    Evidence plus(final Crash crash, final boolean onlySuspect) {
        if (crashes.stream().anyMatch(crash::isSame)) {
            return new Evidence(fingerprint, crashes, quarantined || onlySuspect);
        }
        final List<Crash> all = new ArrayList<>(crashes);
        all.add(crash);
        all.sort(Comparator.comparingLong(c -> c.nanos() - crash.nanos()));
        if (all.size() > MAXIMUM_CRASHES) {
            all.remove(0);
        }
        return new Evidence(
                fingerprint, all, quarantined || onlySuspect || outages(all) >= REFUSAL_OUTAGES);
    }

    Set<String> replicas() {
        return crashes.stream().map(Crash::replica).collect(Collectors.toUnmodifiableSet());
    }

    long lastCrashNanos() {
        return crashes.get(crashes.size() - 1).nanos();
    }

    boolean hasCrashOfOther(final String replica) {
        return crashes.stream().anyMatch(crash -> !crash.replica().equals(replica));
    }

    /** Returns the notice of one crash. */
    QuarantineNotice toNotice(final Crash crash, final long nowNanos) {
        return toNotice(List.of(crash.replica()), false, nowNanos - crash.nanos());
    }

    /** Returns the notice that clears the content of all its crashes. */
    QuarantineNotice toClearance(final long nowNanos) {
        return toNotice(replicas().stream().sorted().toList(), true, nowNanos - lastCrashNanos());
    }

    private QuarantineNotice toNotice(
            final List<String> replicas, final boolean cleared, final long ageNanos) {
        return new QuarantineNotice(
                fingerprint.service(),
                fingerprint.digest(),
                fingerprint.similarity(),
                replicas,
                quarantined,
                cleared,
                TimeUnit.NANOSECONDS.toMillis(ageNanos));
    }

    private static int outages(final List<Crash> crashes) {
        int outages = 0;
        long lastNanos = 0;
        for (final Crash crash : crashes) {
            if (outages == 0 || crash.nanos() - lastNanos >= OUTAGE_NANOS) {
                outages++;
                lastNanos = crash.nanos();
            }
        }
        return outages;
    }
}
