package io.persimmonreel.experiment.policy;

import static org.assertj.core.api.Assertions.assertThat;

import io.persimmonreel.core.service.Tier;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class PolicyExperimentTest {
    @Nested
    class QuickRun {
        /**
         * Guards against a scheduler change that misses a target of the design page. The targets
         * for bulk goodput against the best baseline are known misses, listed in
         * docs/experiments.md.
         */
        @Test
        void meetsTargetsExceptKnownMisses() throws InterruptedException {
            final ByteArrayOutputStream output = new ByteArrayOutputStream();
            final List<Targets.Verdict> verdicts =
                    PolicyExperiment.run(
                            new PrintStream(output, true, StandardCharsets.UTF_8), 1, true);
            final List<Targets.Verdict> missed =
                    verdicts.stream().filter(verdict -> !verdict.holds()).toList();
            assertThat(missed)
                    .as(output.toString(StandardCharsets.UTF_8))
                    .allSatisfy(verdict -> assertThat(isKnownMiss(verdict.target())).isTrue());
        }

        private boolean isKnownMiss(final String target) {
            return target.endsWith("bulk goodput >= best baseline");
        }
    }

    @Nested
    class SameSeed {
        /** Guards against results that cannot be reproduced from the seed. */
        @Test
        void givesEqualResults() {
            final RunSpec run = new RunSpec("short", 1.3, RunSpec.Fault.NONE);
            final RunResult first =
                    PolicyExperiment.runFleetScheduler(Deployment.saafPaws(), run, 7);
            assertThat(PolicyExperiment.runFleetScheduler(Deployment.saafPaws(), run, 7))
                    .isEqualTo(first);
            assertThat(first.offered().get(Tier.URGENT)).isPositive();
        }
    }
}
