package io.persimmonreel.core.config;

import io.persimmonreel.core.config.OperatorTextParser.Sourced;
import io.persimmonreel.core.service.ObjectiveSpec;
import io.persimmonreel.core.service.ServiceSpec;
import io.persimmonreel.core.service.UpstreamKind;
import io.persimmonreel.core.service.UpstreamSpec;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** Checks the references of services to upstreams and to other services. */
final class ReferenceCheck {
    private final List<Sourced<ServiceSpec>> mServices;
    private final Map<String, ServiceSpec> mServicesById;
    private final Map<String, UpstreamSpec> mUpstreamsById;

    ReferenceCheck(
            final List<Sourced<ServiceSpec>> services,
            final Map<String, ServiceSpec> servicesById,
            final Map<String, UpstreamSpec> upstreamsById) {
        mServices = services;
        mServicesById = servicesById;
        mUpstreamsById = upstreamsById;
    }

    void run() {
        for (final Sourced<ServiceSpec> service : mServices) {
            checkUpstream(service.value(), service.section());
            checkDependencies(service.value(), service.section());
            checkObjective(service.value(), service.section());
        }
        checkCycles();
    }

    private void checkUpstream(final ServiceSpec service, final SectionReader section) {
        if (service.upstream().isEmpty()) {
            return;
        }
        final UpstreamSpec upstream = mUpstreamsById.get(service.upstream());
        if (upstream == null) {
            section.report("upstream", "is not declared: " + service.upstream());
            return;
        }
        final boolean engine = upstream.kind() == UpstreamKind.ENGINE;
        if (engine && !section.has("maximumOutputTokens")) {
            section.report("maximumOutputTokens", "is missing for a service of an engine");
        } else if (engine && service.maximumOutputTokens() == 0) {
            section.report("maximumOutputTokens", "must be at least 1 for a service of an engine");
        } else if (!engine && service.maximumOutputTokens() > 0) {
            section.report("maximumOutputTokens", "is only allowed for a service of an engine");
        }
        final Optional<ObjectiveSpec> objective = Optional.ofNullable(service.objective());
        if (engine && objective.map(o -> o.betweenTokens().isZero()).orElse(false)) {
            section.report("objective", "lacks betweenTokens, which a service of an engine needs");
        }
    }

    private void checkDependencies(final ServiceSpec service, final SectionReader section) {
        for (int i = 0; i < service.dependsOn().size(); i++) {
            final String id = service.dependsOn().get(i);
            final ServiceSpec dependency = mServicesById.get(id);
            if (dependency == null) {
                if (!id.isEmpty()) {
                    section.reportItem("dependsOn", i, "is not declared: " + id);
                }
            } else if (service.tier().isHigherThan(dependency.tier())) {
                section.reportItem(
                        "dependsOn",
                        i,
                        "needs "
                                + id
                                + " of the lower tier "
                                + dependency.tier().label()
                                + "; a dependency must not have a lower tier");
            }
        }
    }

    private void checkObjective(final ServiceSpec service, final SectionReader section) {
        if (service.objective() != null
                && service.objective().complete().compareTo(service.deadline()) > 0) {
            section.report("objective", "has complete longer than the deadline");
        }
    }

    private void checkCycles() {
        final Map<String, SectionReader> sections = new HashMap<>();
        mServices.forEach(s -> sections.putIfAbsent(s.value().id(), s.section()));
        final Set<String> visited = new HashSet<>();
        for (final String id : mServicesById.keySet()) {
            findCycles(id, new HashSet<>(), visited, sections);
        }
    }

    /** Searches depth first for cycles; the depth is at most the number of services. */
    private void findCycles(
            final String id,
            final Set<String> path,
            final Set<String> visited,
            final Map<String, SectionReader> sections) {
        if (visited.contains(id)) {
            return;
        }
        path.add(id);
        final List<String> dependencies = mServicesById.get(id).dependsOn();
        for (int i = 0; i < dependencies.size(); i++) {
            final String next = dependencies.get(i);
            if (path.contains(next)) {
                sections.get(id).reportItem("dependsOn", i, "closes a dependency cycle at " + next);
            } else if (mServicesById.containsKey(next)) {
                findCycles(next, path, visited, sections);
            }
        }
        path.remove(id);
        visited.add(id);
    }
}
