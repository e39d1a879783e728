package io.persimmonreel.experiment.policy;

import io.persimmonreel.core.service.Tier;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.ToDoubleFunction;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.CategoryChart;
import org.knowm.xchart.CategoryChartBuilder;

/**
 * Draws goodput by tier and wasted prefill as bar charts, a file for each deployment and measure.
 */
final class Plots {
    private static final int WIDTH_PIXELS = 1400;
    private static final int HEIGHT_PIXELS = 500;

    private Plots() {}

    static void write(final List<RunResult> results, final Path directory) throws IOException {
        Files.createDirectories(directory);
        final Set<String> deployments = new LinkedHashSet<>();
        results.forEach(result -> deployments.add(result.deployment()));
        for (final String deployment : deployments) {
            final List<RunResult> deploymentResults =
                    results.stream()
                            .filter(result -> result.deployment().equals(deployment))
                            .toList();
            for (final Tier tier : List.of(Tier.URGENT, Tier.NORMAL, Tier.BULK)) {
                draw(
                        deploymentResults,
                        deployment + "-goodput-" + tier.label(),
                        "good share of offered requests",
                        result -> result.goodShare(tier),
                        directory);
            }
            draw(
                    deploymentResults,
                    deployment + "-wasted-prefill",
                    "wasted share of prefill tokens",
                    RunResult::wastedPrefillShare,
                    directory);
        }
    }

    private static void draw(
            final List<RunResult> results,
            final String name,
            final String axisTitle,
            final ToDoubleFunction<RunResult> value,
            final Path directory)
            throws IOException {
        final CategoryChart chart =
                new CategoryChartBuilder()
                        .width(WIDTH_PIXELS)
                        .height(HEIGHT_PIXELS)
                        .title(name)
                        .yAxisTitle(axisTitle)
                        .build();
        final Set<String> policies = new LinkedHashSet<>();
        results.forEach(result -> policies.add(result.policy()));
        for (final String policy : policies) {
            final List<String> runs = new ArrayList<>();
            final List<Double> values = new ArrayList<>();
            for (final RunResult result : results) {
                if (result.policy().equals(policy)) {
                    runs.add(result.run());
                    values.add(value.applyAsDouble(result));
                }
            }
            chart.addSeries(policy, runs, values);
        }
        BitmapEncoder.saveBitmap(
                chart, directory.resolve(name + ".png").toString(), BitmapEncoder.BitmapFormat.PNG);
    }
}
