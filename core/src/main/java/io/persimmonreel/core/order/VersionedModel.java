package io.persimmonreel.core.order;

import java.util.Comparator;

/**
 * Names a model and its version.
 *
 * @param model the model, empty if none
 * @param modelVersion the model version, empty if none
 */
record VersionedModel(String model, String modelVersion) implements Comparable<VersionedModel> {
    private static final Comparator<VersionedModel> ORDER =
            Comparator.comparing(VersionedModel::model).thenComparing(VersionedModel::modelVersion);

    static VersionedModel of(final ReportedModel report) {
        return new VersionedModel(report.model(), report.modelVersion());
    }

    static VersionedModel of(final EngineOrder order) {
        return new VersionedModel(order.model(), order.modelVersion());
    }

    @Override
    public int compareTo(final VersionedModel other) {
        return ORDER.compare(this, other);
    }
}
