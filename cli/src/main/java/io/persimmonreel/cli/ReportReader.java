package io.persimmonreel.cli;

import com.fasterxml.jackson.databind.JsonNode;
import io.persimmonreel.core.objective.ObjectiveReport;
import io.persimmonreel.core.objective.ObjectiveWindow;
import io.persimmonreel.core.objective.PrefillCount;
import io.persimmonreel.core.objective.RequestCount;
import io.persimmonreel.core.objective.ServiceObjective;
import io.persimmonreel.core.service.Tier;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** Parses the reports of daemons. */
final class ReportReader {
    private ReportReader() {}

    /**
     * Parses one daemon's report.
     *
     * @param node the response body of {@code /v1/report}
     * @return the report
     * @throws BadInputException if the list of services is missing, or a tier or target is invalid
     */
    static ObjectiveReport read(final JsonNode node) throws BadInputException {
        if (!node.path("services").isArray()) {
            throw new BadInputException("report: the answer has no list of services");
        }
        final List<ServiceObjective> services = new ArrayList<>();
        for (final JsonNode service : node.path("services")) {
            services.add(service(service));
        }
        final JsonNode prefill = node.path("prefill");
        return new ObjectiveReport(
                node.path("daemons").asInt(1),
                services,
                new PrefillCount(
                        prefill.path("tokens").asLong(), prefill.path("wastedTokens").asLong()));
    }

    private static ServiceObjective service(final JsonNode node) throws BadInputException {
        final String label = node.path("tier").asText().toLowerCase(Locale.ROOT);
        final Tier tier =
                Tier.ofLabel(label)
                        .orElseThrow(() -> new BadInputException("report: unknown tier " + label));
        final double target = node.path("target").asDouble();
        if (!(target > 0 && target < 1)) {
            throw new BadInputException("report: a target is not between 0 and 1");
        }
        final Map<ObjectiveWindow, RequestCount> windows = new EnumMap<>(ObjectiveWindow.class);
        for (final ObjectiveWindow window : ObjectiveWindow.values()) {
            windows.put(window, count(node.path("windows").path(window.name())));
        }
        return new ServiceObjective(
                node.path("service").asText(), tier, target, count(node.path("total")), windows);
    }

    private static RequestCount count(final JsonNode node) {
        return new RequestCount(node.path("offered").asLong(), node.path("good").asLong());
    }
}
