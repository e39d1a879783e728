package io.persimmonreel.core.schedule;

import io.persimmonreel.core.config.Configuration;
import io.persimmonreel.core.service.ServiceSpec;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Lists the services that each service depends on, directly or indirectly. Immutable. */
final class ServiceDependencies {
    private final Map<String, List<String>> mNeeded = new HashMap<>();

    ServiceDependencies(final Configuration configuration) {
        for (final ServiceSpec service : configuration.services().values()) {
            mNeeded.put(service.id(), needed(configuration, service));
        }
    }

    private static List<String> needed(
            final Configuration configuration, final ServiceSpec service) {
        final Set<String> found = new LinkedHashSet<>();
        final ArrayDeque<String> open = new ArrayDeque<>(service.dependsOn());
        while (!open.isEmpty()) {
            final String id = open.poll();
            if (found.add(id)) {
                configuration.service(id).ifPresent(next -> open.addAll(next.dependsOn()));
            }
        }
        return List.copyOf(found);
    }

    List<String> of(final String service) {
        return mNeeded.getOrDefault(service, List.of());
    }
}
