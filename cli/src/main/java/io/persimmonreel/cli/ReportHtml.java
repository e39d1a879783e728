package io.persimmonreel.cli;

import io.persimmonreel.core.objective.ObjectiveReport;
import io.persimmonreel.core.objective.ObjectiveWindow;
import io.persimmonreel.core.objective.ServiceObjective;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.function.ToDoubleFunction;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.CategoryChart;
import org.knowm.xchart.CategoryChartBuilder;

/** Formats a report as one HTML document with embedded plots. */
final class ReportHtml {
    private static final int WIDTH_PIXELS = 900;
    private static final int HEIGHT_PIXELS = 380;
    private static final int LABEL_ROTATION_DEGREES = 30;
    private static final int PERCENT = 100;
    private static final String HEAD =
            "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">"
                    + "<title>persimmonreel report</title><style>"
                    + "body{font-family:sans-serif;margin:2em;max-width:60em}"
                    + "pre{background:#f4f4f4;padding:1em;overflow:auto}"
                    + "img{max-width:100%}</style></head><body>\n";

    private ReportHtml() {}

    /**
     * Formats a report.
     *
     * @param report the report, with at least one service
     * @return the HTML document
     * @throws IOException if a plot can't be encoded
     */
    static String format(final ObjectiveReport report) throws IOException {
        // Plots must be drawn on machines without a display.
        System.setProperty("java.awt.headless", "true");
        final ByteArrayOutputStream table = new ByteArrayOutputStream();
        ReportText.print(report, new PrintStream(table, true, StandardCharsets.UTF_8));
        final StringBuilder html = new StringBuilder(HEAD);
        html.append("<h1>Objectives</h1>\n<pre>");
        html.append(escape(table.toString(StandardCharsets.UTF_8)));
        html.append("</pre>\n");
        appendImage(html, "Attainment and target by service", attainmentChart(report));
        appendImage(html, "Burn of the error budget by service and window", burnRateChart(report));
        appendImage(html, "Goodput by tier over 5 min", goodputChart(report));
        return html.append("</body></html>\n").toString();
    }

    private static CategoryChart attainmentChart(final ObjectiveReport report) {
        final CategoryChart chart = emptyChart("service", "% of requests");
        final List<String> names = names(report);
        chart.addSeries("attained", names, values(report, s -> PERCENT * s.total().attainment()));
        chart.addSeries("target", names, values(report, s -> PERCENT * s.target()));
        return chart;
    }

    private static CategoryChart burnRateChart(final ObjectiveReport report) {
        final CategoryChart chart = emptyChart("service", "burn (1 = budget)");
        for (final ObjectiveWindow window : ObjectiveWindow.values()) {
            chart.addSeries(
                    ReportText.label(window),
                    names(report),
                    values(report, s -> s.burnRate(window)));
        }
        return chart;
    }

    private static CategoryChart goodputChart(final ObjectiveReport report) {
        final CategoryChart chart = emptyChart("tier", "requests");
        final List<String> tiers = new ArrayList<>();
        final List<Long> offered = new ArrayList<>();
        final List<Long> good = new ArrayList<>();
        report.byTier(ObjectiveWindow.FIVE_MINUTES)
                .forEach(
                        (tier, count) -> {
                            tiers.add(tier.label());
                            offered.add(count.offered());
                            good.add(count.good());
                        });
        chart.addSeries("offered", tiers, offered);
        chart.addSeries("good", tiers, good);
        return chart;
    }

    private static CategoryChart emptyChart(final String xTitle, final String yTitle) {
        final CategoryChart chart =
                new CategoryChartBuilder()
                        .width(WIDTH_PIXELS)
                        .height(HEIGHT_PIXELS)
                        .xAxisTitle(xTitle)
                        .yAxisTitle(yTitle)
                        .build();
        chart.getStyler().setXAxisLabelRotation(LABEL_ROTATION_DEGREES);
        chart.getStyler().setYAxisDecimalPattern("0.##");
        return chart;
    }

    private static List<String> names(final ObjectiveReport report) {
        return report.services().stream().map(s -> s.service() + " " + s.tier().label()).toList();
    }

    private static List<Double> values(
            final ObjectiveReport report, final ToDoubleFunction<ServiceObjective> value) {
        return report.services().stream().map(value::applyAsDouble).toList();
    }

    private static void appendImage(
            final StringBuilder html, final String title, final CategoryChart chart)
            throws IOException {
        final byte[] png = BitmapEncoder.getBitmapBytes(chart, BitmapEncoder.BitmapFormat.PNG);
        html.append("<h2>").append(escape(title)).append("</h2>\n<img alt=\"");
        html.append(escape(title)).append("\" src=\"data:image/png;base64,");
        html.append(Base64.getEncoder().encodeToString(png)).append("\">\n");
    }

    private static String escape(final String text) {
        return text.replace("&", "&amp;").replace("<", "&lt;").replace("\"", "&quot;");
    }
}
