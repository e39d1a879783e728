package io.persimmonreel.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.persimmonreel.core.objective.ObjectiveReport;
import io.persimmonreel.core.objective.ObjectiveWindow;
import io.persimmonreel.core.objective.RequestCount;
import io.persimmonreel.core.objective.ServiceObjective;
import java.io.PrintStream;
import java.util.Locale;

/** Formats a report as text or JSON. */
final class ReportText {
    private static final int PERCENT = 100;

    private ReportText() {}

    /** Returns the short name of a window, such as 5m. */
    static String label(final ObjectiveWindow window) {
        final long minutes = window.length().toMinutes();
        return minutes < 60 ? minutes + "m" : minutes / 60 + "h";
    }

    /** Returns the name of a service's burn rate alert, or an empty string. */
    static String alert(final ServiceObjective service) {
        if (service.isFastAlert()) {
            return "FAST";
        }
        return service.isSlowAlert() ? "SLOW" : "";
    }

    /** Prints the report as tables. */
    static void print(final ObjectiveReport report, final PrintStream out) {
        out.printf(Locale.ROOT, "daemons %d%n%n", report.daemons());
        out.printf(
                Locale.ROOT,
                "%-18s %-7s %8s %8s %8s %7s %7s %7s %7s %7s  %s%n",
                "service",
                "tier",
                "offered",
                "attained",
                "target",
                "budget",
                "5m",
                "30m",
                "1h",
                "6h",
                "alert");
        for (final ServiceObjective service : report.services()) {
            out.printf(
                    Locale.ROOT,
                    "%-18s %-7s %8d %7.2f%% %7.2f%% %6.0f%% %7.2f %7.2f %7.2f %7.2f  %s%n",
                    service.service(),
                    service.tier().label(),
                    service.total().offered(),
                    PERCENT * service.total().attainment(),
                    PERCENT * service.target(),
                    PERCENT * service.budgetSpent(),
                    service.burnRate(ObjectiveWindow.FIVE_MINUTES),
                    service.burnRate(ObjectiveWindow.THIRTY_MINUTES),
                    service.burnRate(ObjectiveWindow.ONE_HOUR),
                    service.burnRate(ObjectiveWindow.SIX_HOURS),
                    alert(service));
        }
        printGoodput(report, out);
    }

    private static void printGoodput(final ObjectiveReport report, final PrintStream out) {
        out.printf(Locale.ROOT, "%ngoodput of the last 5 min%n");
        report.byTier(ObjectiveWindow.FIVE_MINUTES)
                .forEach(
                        (tier, count) ->
                                out.printf(
                                        Locale.ROOT,
                                        "%-7s %8d of %8d  %7.2f%%%n",
                                        tier.label(),
                                        count.good(),
                                        count.offered(),
                                        PERCENT * count.attainment()));
        out.printf(
                Locale.ROOT,
                "%nwasted prefill %d of %d tokens, %.2f%%%n",
                report.prefill().wastedTokens(),
                report.prefill().tokens(),
                PERCENT * report.prefill().wastedShare());
    }

    /** Returns the report as JSON. */
    static JsonNode json(final ObjectiveReport report) {
        final ObjectNode root = new ObjectMapper().createObjectNode();
        root.put("daemons", report.daemons());
        final ArrayNode services = root.putArray("services");
        for (final ServiceObjective service : report.services()) {
            final ObjectNode node = services.addObject();
            node.put("service", service.service());
            node.put("tier", service.tier().label());
            node.put("target", service.target());
            put(node, service.total());
            node.put("budgetSpent", service.budgetSpent());
            final ObjectNode burn = node.putObject("burn");
            for (final ObjectiveWindow window : ObjectiveWindow.values()) {
                burn.put(label(window), service.burnRate(window));
            }
            node.put("fastAlert", service.isFastAlert());
            node.put("slowAlert", service.isSlowAlert());
        }
        final ObjectNode tiers = root.putObject("goodput5m");
        report.byTier(ObjectiveWindow.FIVE_MINUTES)
                .forEach((tier, count) -> put(tiers.putObject(tier.label()), count));
        root.putObject("prefill")
                .put("tokens", report.prefill().tokens())
                .put("wastedTokens", report.prefill().wastedTokens())
                .put("wastedShare", report.prefill().wastedShare());
        return root;
    }

    private static void put(final ObjectNode node, final RequestCount count) {
        node.put("offered", count.offered());
        node.put("good", count.good());
        node.put("attainment", count.attainment());
    }
}
