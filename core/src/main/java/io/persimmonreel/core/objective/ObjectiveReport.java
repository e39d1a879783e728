package io.persimmonreel.core.objective;

import io.persimmonreel.core.service.Tier;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Reports how one or several daemons met the objectives of their services.
 *
 * @param daemons the number of daemons in the report
 * @param services the services and tiers that had requests, sorted by service and tier
 * @param prefill the prompt tokens sent to engines
 */
public record ObjectiveReport(int daemons, List<ServiceObjective> services, PrefillCount prefill) {
    /** The report of no daemon. */
    public static final ObjectiveReport NONE = new ObjectiveReport(0, List.of(), PrefillCount.NONE);

    /** Copies and sorts the list. */
    public ObjectiveReport {
        final List<ServiceObjective> sorted = new ArrayList<>(services);
        sorted.sort(
                Comparator.comparing(ServiceObjective::service)
                        .thenComparing(ServiceObjective::tier));
        services = List.copyOf(sorted);
    }

    /**
     * Adds the report of other daemons.
     *
     * @param other the other report, of daemons that are not in this one
     * @return the combined report
     */
    public ObjectiveReport plus(final ObjectiveReport other) {
        final Map<String, ServiceObjective> sums = new TreeMap<>();
        for (final List<ServiceObjective> list : List.of(services, other.services)) {
            for (final ServiceObjective service : list) {
                sums.merge(
                        service.service() + '/' + service.tier(), service, ServiceObjective::plus);
            }
        }
        return new ObjectiveReport(
                daemons + other.daemons, List.copyOf(sums.values()), prefill.plus(other.prefill));
    }

    /**
     * Returns the offered and good requests by tier.
     *
     * @param window the window
     * @return the counts of every tier that had requests
     */
    public Map<Tier, RequestCount> byTier(final ObjectiveWindow window) {
        final Map<Tier, RequestCount> tiers = new EnumMap<>(Tier.class);
        for (final ServiceObjective service : services) {
            final RequestCount count = service.windows().getOrDefault(window, RequestCount.NONE);
            tiers.merge(service.tier(), count, RequestCount::plus);
        }
        return tiers;
    }
}
