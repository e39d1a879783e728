package io.persimmonreel.core.order;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Controls the rollout of a model to the replicas of one engine upstream. Not thread safe.
 *
 * <p>Until half of the replicas have reported the desired model, replicas that still report a
 * formerly desired model keep serving. At most a quarter of the replicas load at a time: all
 * daemons sort the replicas without the desired model in the same way, and only the first quarter
 * may load. A daemon with outdated reports sees more such replicas, never fewer, so its first
 * quarter is not ahead of that of other daemons.
 */
final class UpstreamRollout {
    /** By this time after its start, a daemon has read the reports of all replicas that respond. */
    static final long FIRST_REPORTS_NANOS = Duration.ofSeconds(10).toNanos();

    /**
     * A replica without a report for this long leaves its place in the first quarter to another.
     */
    static final long REPORT_STALE_NANOS = Duration.ofMinutes(3).toNanos();

    /** A load that is not done after this time leaves its place in the first quarter to another. */
    static final long LOAD_TIMEOUT_NANOS = Duration.ofMinutes(10).toNanos();

    private static final int LOADING_DIVISOR = 4;

    /** This many rollouts may overlap while all daemons still sort the replicas in the same way. */
    private static final int MAXIMUM_HISTORY = 16;

    private final long mCreatedNanos;
    private final Map<String, TimedReport> mReports = new HashMap<>();
    private final Map<String, SentOrder> mSent = new HashMap<>();
    private final Set<String> mReplicasUpdated = new HashSet<>();
    private final List<VersionedModel> mFormerModels = new ArrayList<>();
    private final List<VersionedModel> mModelHistory = new ArrayList<>();
    private List<String> mReplicas = List.of();
    private VersionedModel mDesiredModel;
    private long mDesiredSinceVersion;
    private long mBaseVersion;
    private boolean mRolling = true;
    private boolean mFormerModelsKnown;

    private record TimedReport(ReportedModel report, long nanos) {}

    private record SentOrder(long firstNanos, long nanos, int attempts) {}

    UpstreamRollout(final VersionedModel desired, final long version, final long nowNanos) {
        mDesiredModel = desired;
        mDesiredSinceVersion = version;
        mCreatedNanos = nowNanos;
    }

    /**
     * Applies a newly accepted configuration.
     *
     * @param replicas the ids of the upstream's replicas
     * @param desired the model that they should have loaded
     * @param version the version of the configuration
     * @param previous the version that was in force before
     */
    void configure(
            final List<String> replicas,
            final VersionedModel desired,
            final long version,
            final long previous) {
        mReplicas = replicas.stream().sorted().toList();
        mReports.keySet().retainAll(replicas);
        if (desired.equals(mDesiredModel)) {
            return;
        }
        if (!mRolling) {
            mBaseVersion = previous;
        }
        // Replicas with a model from before an unfinished rollout keep serving; stopping them could
        // halve the capacity.
        mFormerModels.remove(mDesiredModel);
        mFormerModels.add(mDesiredModel);
        mFormerModels.remove(desired);
        mModelHistory.remove(mDesiredModel);
        mModelHistory.add(mDesiredModel);
        mModelHistory.remove(desired);
        if (mModelHistory.size() > MAXIMUM_HISTORY) {
            mModelHistory.remove(0);
        }
        mDesiredModel = desired;
        mDesiredSinceVersion = version;
        mRolling = true;
        mReplicasUpdated.clear();
        mSent.clear();
    }

    /**
     * Handles a report of a replica.
     *
     * @param report the report
     * @param nowNanos the present monotonic time
     */
    void onReport(final ReportedModel report, final long nowNanos) {
        final String id = report.replica();
        mReports.put(id, new TimedReport(report, nowNanos));
        if (isMetBy(report)) {
            mSent.remove(id);
            mReplicasUpdated.add(id);
        } else if (report.fence() >= mDesiredSinceVersion && !mSent.containsKey(id)) {
            // Another daemon sent the order; it is treated like this daemon's own.
            markSent(id, nowNanos);
        }
        if (2 * updatedCount() >= mReplicas.size()) {
            mRolling = false;
            mFormerModelsKnown = true;
            mFormerModels.clear();
        }
    }

    boolean isMetBy(final ReportedModel report) {
        return mDesiredModel.equals(VersionedModel.of(report));
    }

    /** Records that an order to load the desired model was sent to a replica. */
    void markSent(final String id, final long nowNanos) {
        mSent.merge(
                id,
                new SentOrder(nowNanos, nowNanos, 1),
                (previous, current) ->
                        new SentOrder(previous.firstNanos(), nowNanos, previous.attempts() + 1));
    }

    /** Removes the record of an order that was not delivered. */
    void forgetSent(final String id) {
        mSent.remove(id);
    }

    /**
     * Tells whether an order to a replica is due.
     *
     * @param id the replica's id
     * @param repeatNanos the wait before the first repeat, doubled with each repeat
     * @param maximumDoublings the largest number of doublings
     * @param nowNanos the present monotonic time
     * @return true if the replica may start to load, or its last order is due for a repeat
     */
    boolean isDue(
            final String id,
            final long repeatNanos,
            final int maximumDoublings,
            final long nowNanos) {
        final SentOrder sent = mSent.get(id);
        if (sent == null) {
            return isInLoadingQuarter(id, nowNanos);
        }
        final long wait = repeatNanos << Math.min(maximumDoublings, sent.attempts() - 1);
        return nowNanos - sent.nanos() >= wait;
    }

    /**
     * Returns the replicas that get no new requests.
     *
     * @param nowNanos the present monotonic time
     * @return the ids of the replicas
     */
    Set<String> held(final long nowNanos) {
        final Set<VersionedModel> serving = formerModels(nowNanos);
        final Set<String> held = new HashSet<>();
        mReports.forEach(
                (id, timed) -> {
                    if (!isMetBy(timed.report())
                            && (!mRolling
                                    || isLoading(id, nowNanos)
                                    || mReplicasUpdated.contains(id)
                                    || !serving.contains(VersionedModel.of(timed.report())))) {
                        held.add(id);
                    }
                });
        return held;
    }

    private long updatedCount() {
        return mReports.values().stream().filter(timed -> isMetBy(timed.report())).count();
    }

    private boolean isLoading(final String id, final long nowNanos) {
        final SentOrder sent = mSent.get(id);
        return sent != null && nowNanos - sent.firstNanos() < LOAD_TIMEOUT_NANOS;
    }

    private boolean isInLoadingQuarter(final String id, final long nowNanos) {
        if (mReports.size() < mReplicas.size() && nowNanos - mCreatedNanos < FIRST_REPORTS_NANOS) {
            return false;
        }
        final Map<VersionedModel, Long> fences = lowestFences();
        final Comparator<String> byHistory =
                Comparator.comparingInt((String r) -> historyIndex(modelOf(r)))
                        .thenComparing(r -> fences.getOrDefault(modelOf(r), 0L));
        return mReplicas.stream()
                .filter(mReports::containsKey)
                .filter(r -> !isMetBy(reportOf(r)))
                .filter(r -> nowNanos - mReports.get(r).nanos() < REPORT_STALE_NANOS)
                .filter(r -> !mSent.containsKey(r) || isLoading(r, nowNanos))
                .sorted(byHistory.thenComparing(Comparator.naturalOrder()))
                .limit(Math.max(1, mReplicas.size() / LOADING_DIVISOR))
                .anyMatch(id::equals);
    }

    /**
     * Returns the position of a model in the sort order of replicas. Daemons must agree on it even
     * if one has finished a rollout that another has not. A replica without a model may be loading,
     * so it comes first.
     */
    private int historyIndex(final VersionedModel model) {
        return model.model().isEmpty() ? Integer.MIN_VALUE : mModelHistory.indexOf(model);
    }

    private ReportedModel reportOf(final String id) {
        return mReports.get(id).report();
    }

    private VersionedModel modelOf(final String id) {
        return VersionedModel.of(reportOf(id));
    }

    private Map<VersionedModel, Long> lowestFences() {
        final Map<VersionedModel, Long> fences = new HashMap<>();
        for (final TimedReport timed : mReports.values()) {
            final VersionedModel model = VersionedModel.of(timed.report());
            if (!model.equals(mDesiredModel) && !model.model().isEmpty()) {
                fences.merge(model, timed.report().fence(), Math::min);
            }
        }
        return fences;
    }

    /** Returns the models other than the desired one whose replicas may serve. */
    private Set<VersionedModel> formerModels(final long nowNanos) {
        final Set<VersionedModel> models = new HashSet<>(mFormerModels);
        if (mRolling) {
            models.addAll(
                    mFormerModelsKnown ? modelsOfUnseenVersions() : mostCommonModels(nowNanos));
        }
        return models;
    }

    /**
     * Returns the reported models of configurations that this daemon did not see: those with a
     * fencing token between the version before the rollout and the present one.
     */
    private List<VersionedModel> modelsOfUnseenVersions() {
        final List<VersionedModel> models = new ArrayList<>();
        lowestFences()
                .forEach(
                        (model, fence) -> {
                            if (fence > mBaseVersion && fence < mDesiredSinceVersion) {
                                models.add(model);
                            }
                        });
        return models;
    }

    /**
     * Returns the most common reported models, until half of the replicas serve. A daemon uses them
     * if it started after the configuration changed, since it does not know the former models.
     */
    private List<VersionedModel> mostCommonModels(final long nowNanos) {
        final Map<VersionedModel, Integer> counts = new HashMap<>();
        mReports.values().stream()
                .map(timed -> VersionedModel.of(timed.report()))
                .filter(model -> !model.equals(mDesiredModel) && !model.model().isEmpty())
                .forEach(model -> counts.merge(model, 1, Integer::sum));
        long serving = updatedCount();
        if (nowNanos - mCreatedNanos < FIRST_REPORTS_NANOS) {
            // Replicas without a report serve too.
            serving += mReplicas.size() - mReports.size();
        }
        final List<VersionedModel> common = new ArrayList<>();
        for (final VersionedModel model :
                counts.keySet().stream()
                        .sorted(
                                Comparator.<VersionedModel>comparingInt(counts::get)
                                        .reversed()
                                        .thenComparing(s -> s))
                        .toList()) {
            if (mFormerModels.contains(model)) {
                serving += counts.get(model);
            } else if (2 * serving < mReplicas.size()) {
                serving += counts.get(model);
                common.add(model);
            }
        }
        return common;
    }
}
