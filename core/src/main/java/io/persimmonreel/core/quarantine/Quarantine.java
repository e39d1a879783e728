package io.persimmonreel.core.quarantine;

import io.persimmonreel.core.peer.PeerMessage.QuarantineNotice;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

/**
 * Decides which request contents are suspected of crashing replicas and which are refused.
 *
 * <p>A content is suspected if it ran on a replica that crashed. It is refused if another replica
 * crashes on which it was the only suspect, or after three outages at different times without a
 * complete response in between. Thread safe; while nothing is suspected, decisions take no lock.
 */
public final class Quarantine {
    private static final long EVIDENCE_LIFETIME_NANOS = TimeUnit.MINUTES.toNanos(30);
    private static final int MAXIMUM_ENTRIES = 10_000;

    private final EvidenceTable mTable;

    /** Digests of the suspected contents that this daemon runs, by replica id. */
    private final Map<String, List<String>> mRunningSuspects = new HashMap<>();

    private volatile int mEvidenceCount;

    /** Creates a quarantine without evidence. */
    public Quarantine() {
        this(MAXIMUM_ENTRIES);
    }

    Quarantine(final int maximumEntries) {
        mTable = new EvidenceTable(maximumEntries);
    }

    /**
     * Returns whether nothing is suspected, so that fingerprints need not be computed.
     *
     * @return true if every decision would be {@code NORMAL}
     */
    public boolean isEmpty() {
        return mEvidenceCount == 0;
    }

    /**
     * Decides whether and where a request may run.
     *
     * @param fingerprint the request's content
     * @param nowNanos the current monotonic time in nanoseconds
     * @return the decision
     */
    public QuarantineDecision decision(final Fingerprint fingerprint, final long nowNanos) {
        if (isEmpty()) {
            return new QuarantineDecision(QuarantineDecision.Kind.NORMAL, Set.of());
        }
        synchronized (mTable) {
            expire(nowNanos);
            final Optional<Evidence> found = mTable.find(fingerprint);
            if (found.isEmpty()) {
                return new QuarantineDecision(QuarantineDecision.Kind.NORMAL, Set.of());
            }
            if (found.get().quarantined()) {
                return new QuarantineDecision(QuarantineDecision.Kind.QUARANTINED, Set.of());
            }
            final Set<String> excluded = new HashSet<>(found.get().replicas());
            // Includes replicas that run another request with the same content.
            excluded.addAll(mRunningSuspects.keySet());
            return new QuarantineDecision(QuarantineDecision.Kind.ISOLATED, excluded);
        }
    }

    /**
     * Records that a request was dispatched. If its content is suspected, other suspected requests
     * avoid its replica.
     *
     * @param fingerprint the request's content
     * @param replica the replica's id
     */
    public void onDispatched(final Fingerprint fingerprint, final String replica) {
        if (isEmpty()) {
            return;
        }
        synchronized (mTable) {
            if (mTable.find(fingerprint).isPresent()) {
                mRunningSuspects
                        .computeIfAbsent(replica, key -> new ArrayList<>())
                        .add(fingerprint.digest());
            }
        }
    }

    /**
     * Records that a replica crashed. The contents of all requests on it become suspects.
     *
     * @param replica the replica's id
     * @param requests the contents of the requests that this daemon was running on it
     * @param nowNanos the current monotonic time in nanoseconds
     * @return the notices to send to all peers
     */
    public List<QuarantineNotice> onCrash(
            final String replica, final Collection<Fingerprint> requests, final long nowNanos) {
        synchronized (mTable) {
            expire(nowNanos);
            mRunningSuspects.remove(replica);
            // Contents that ran on another replica when it crashed.
            final Set<Evidence> suspects = new LinkedHashSet<>();
            for (final Fingerprint request : requests) {
                mTable.find(request)
                        .filter(evidence -> evidence.hasCrashOfOther(replica))
                        .ifPresent(suspects::add);
            }
            final Crash crash = new Crash(replica, nowNanos);
            final List<QuarantineNotice> notices = new ArrayList<>();
            for (final Fingerprint request : requests) {
                final Evidence before = mTable.find(request).orElse(Evidence.of(request, crash));
                final boolean onlySuspect = suspects.size() == 1 && suspects.contains(before);
                final Evidence after = before.plus(crash, onlySuspect);
                mTable.put(after);
                notices.add(after.toNotice(crash, nowNanos));
            }
            updateEvidenceCount();
            return notices;
        }
    }

    /**
     * Records that a request ended without a crash of its replica. A suspect whose whole response
     * arrived is cleared. Success of a similar content clears nothing, since it does not show what
     * the suspect does.
     *
     * @param fingerprint the request's content
     * @param replica the replica on which it ran
     * @param complete whether the whole response arrived
     * @param nowNanos the current monotonic time in nanoseconds
     * @return the notices to send to all peers
     */
    public List<QuarantineNotice> onCompleted(
            final Fingerprint fingerprint,
            final String replica,
            final boolean complete,
            final long nowNanos) {
        if (isEmpty()) {
            return List.of();
        }
        synchronized (mTable) {
            mRunningSuspects.computeIfPresent(
                    replica,
                    (key, digests) -> {
                        digests.remove(fingerprint.digest());
                        return digests.isEmpty() ? null : digests;
                    });
            final Optional<Evidence> evidence =
                    mTable.findExact(fingerprint).filter(e -> complete && !e.quarantined());
            evidence.ifPresent(mTable::remove);
            updateEvidenceCount();
            return evidence.map(e -> e.toClearance(nowNanos)).stream().toList();
        }
    }

    /**
     * Applies evidence that a peer reports. A clearance is ignored as far as replicas crashed of
     * which the peer did not know.
     *
     * @param notice the peer's notice
     * @param nowNanos the current monotonic time in nanoseconds
     * @return whether the notice reported anything new
     */
    public boolean onNotice(final QuarantineNotice notice, final long nowNanos) {
        final Fingerprint fingerprint =
                new Fingerprint(notice.service(), notice.digest(), notice.similarity());
        synchronized (mTable) {
            final boolean changed =
                    notice.cleared()
                            ? clear(fingerprint, notice.replicas())
                            : addCrashes(fingerprint, notice, nowNanos);
            expire(nowNanos);
            return changed;
        }
    }

    private boolean clear(final Fingerprint fingerprint, final List<String> replicas) {
        final Optional<Evidence> known =
                mTable.findExact(fingerprint).filter(evidence -> !evidence.quarantined());
        if (known.isEmpty()) {
            return false;
        }
        final List<Crash> left = new ArrayList<>(known.get().crashes());
        final boolean changed = left.removeIf(crash -> replicas.contains(crash.replica()));
        if (left.isEmpty()) {
            mTable.remove(known.get());
        } else {
            mTable.put(new Evidence(known.get().fingerprint(), left, false));
        }
        return changed;
    }

    private boolean addCrashes(
            final Fingerprint fingerprint, final QuarantineNotice notice, final long nowNanos) {
        final long age = TimeUnit.MILLISECONDS.toNanos(Math.max(0L, notice.ageMillis()));
        boolean changed = false;
        for (final String replica : notice.replicas()) {
            final Crash crash = new Crash(replica, nowNanos - age);
            final Optional<Evidence> before = mTable.find(fingerprint);
            final Evidence after =
                    before.orElse(Evidence.of(fingerprint, crash))
                            .plus(crash, notice.quarantined());
            if (before.isEmpty() || !before.get().equals(after)) {
                mTable.put(after);
                changed = true;
            }
        }
        return changed;
    }

    /**
     * Returns what a daemon that has just connected must know.
     *
     * @param maximum the maximum number of notices, at least 0
     * @param nowNanos the current monotonic time in nanoseconds
     * @return a notice of each crash, those of refused contents first
     */
    public List<QuarantineNotice> notices(final int maximum, final long nowNanos) {
        return notices(evidence -> true, maximum, nowNanos);
    }

    /**
     * Returns the notices of refused contents, which may be repeated at any time, as they can't be
     * cleared.
     *
     * @param maximum the maximum number of notices, at least 0
     * @param nowNanos the current monotonic time in nanoseconds
     * @return a notice of each crash under a refused content
     */
    public List<QuarantineNotice> refusalNotices(final int maximum, final long nowNanos) {
        return notices(Evidence::quarantined, maximum, nowNanos);
    }

    private List<QuarantineNotice> notices(
            final Predicate<Evidence> filter, final int maximum, final long nowNanos) {
        if (isEmpty()) {
            return List.of();
        }
        synchronized (mTable) {
            expire(nowNanos);
            return mTable.all().stream()
                    .filter(filter)
                    .sorted(Comparator.comparing(evidence -> !evidence.quarantined()))
                    .flatMap(
                            evidence ->
                                    evidence.crashes().stream()
                                            .map(crash -> evidence.toNotice(crash, nowNanos)))
                    .limit(maximum)
                    .toList();
        }
    }

    /**
     * Drops evidence older than 30 minutes. To be called at least once a minute.
     *
     * @param nowNanos the current monotonic time in nanoseconds
     */
    public void onTimer(final long nowNanos) {
        if (!isEmpty()) {
            synchronized (mTable) {
                expire(nowNanos);
            }
        }
    }

    private void expire(final long nowNanos) {
        mTable.expire(nowNanos - EVIDENCE_LIFETIME_NANOS);
        updateEvidenceCount();
    }

    private void updateEvidenceCount() {
        mEvidenceCount = mTable.size();
        if (mEvidenceCount == 0) {
            // Callers do not record ends of requests while nothing is suspected.
            mRunningSuspects.clear();
        }
    }
}
