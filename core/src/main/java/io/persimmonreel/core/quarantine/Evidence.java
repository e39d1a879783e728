package io.persimmonreel.core.quarantine;

import io.persimmonreel.core.peer.PeerMessage.QuarantineNotice;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Records the crashes during which one request content, or a similar one, was running.
 *
 * @param fingerprint the fingerprint of the first such content
 * @param replicas the ids of the replicas that crashed
 * @param quarantined whether the content is refused
 * @param lastCrashNanos the monotonic time of the last crash in nanoseconds
 */
record Evidence(
        Fingerprint fingerprint, Set<String> replicas, boolean quarantined, long lastCrashNanos) {
    Evidence {
        replicas = Set.copyOf(replicas);
    }

    Evidence plus(
            final Set<String> crashedReplicas, final boolean quarantine, final long crashNanos) {
        final Set<String> all = new HashSet<>(replicas);
        all.addAll(crashedReplicas);
        return new Evidence(
                fingerprint, all, quarantined || quarantine, Math.max(lastCrashNanos, crashNanos));
    }

    QuarantineNotice toNotice(final boolean cleared, final long nowNanos) {
        return new QuarantineNotice(
                fingerprint.service(),
                fingerprint.digest(),
                fingerprint.similarity(),
                replicas.stream().sorted().toList(),
                quarantined,
                cleared,
                TimeUnit.NANOSECONDS.toMillis(nowNanos - lastCrashNanos));
    }

    static Evidence of(final QuarantineNotice notice, final long nowNanos) {
        final Fingerprint fingerprint =
                new Fingerprint(notice.service(), notice.digest(), notice.similarity());
        final long age = TimeUnit.MILLISECONDS.toNanos(Math.max(0L, notice.ageMillis()));
        final List<String> replicas = notice.replicas();
        return new Evidence(
                fingerprint, Set.copyOf(replicas), notice.quarantined(), nowNanos - age);
    }
}
