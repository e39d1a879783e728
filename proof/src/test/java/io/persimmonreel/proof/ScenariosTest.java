package io.persimmonreel.proof;

import static io.cucumber.junit.platform.engine.Constants.FILTER_TAGS_PROPERTY_NAME;
import static io.cucumber.junit.platform.engine.Constants.GLUE_PROPERTY_NAME;
import static org.assertj.core.api.Assertions.assertThat;
import static org.junit.platform.engine.discovery.DiscoverySelectors.selectPackage;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;
import org.junit.platform.engine.TestExecutionResult;
import org.junit.platform.launcher.EngineFilter;
import org.junit.platform.launcher.LauncherDiscoveryRequest;
import org.junit.platform.launcher.TestExecutionListener;
import org.junit.platform.launcher.TestIdentifier;
import org.junit.platform.launcher.core.LauncherDiscoveryRequestBuilder;
import org.junit.platform.launcher.core.LauncherFactory;

/**
 * Runs the scenarios of all features, except those tagged as known to fail.
 *
 * <p>Surefire drops the results of scenarios that run in a suite class, failures included. So this
 * class starts them itself and reports each as a dynamic test.
 */
class ScenariosTest {
    private static final String GLUE = "io.persimmonreel.proof,io.persimmonreel.cli";

    /** Collects the results of the scenarios as dynamic tests. */
    private static final class ResultCollector implements TestExecutionListener {
        private final List<DynamicTest> mTests = new ArrayList<>();
        private long mStartNanos;

        @Override
        public void executionStarted(final TestIdentifier test) {
            mStartNanos = System.nanoTime();
        }

        @Override
        public void executionFinished(final TestIdentifier test, final TestExecutionResult result) {
            // A container, such as a feature, fails only if its scenarios could not be run.
            if (test.isTest() || result.getThrowable().isPresent()) {
                final long nanos = System.nanoTime() - mStartNanos;
                System.out.println(
                        result.getStatus()
                                + " "
                                + TimeUnit.NANOSECONDS.toMillis(nanos)
                                + " ms "
                                + test.getDisplayName());
                mTests.add(
                        DynamicTest.dynamicTest(
                                test.getDisplayName(), () -> assertSuccessful(result)));
            }
        }

        private static void assertSuccessful(final TestExecutionResult result) throws Throwable {
            if (result.getThrowable().isPresent()) {
                throw result.getThrowable().get();
            }
            assertThat(result.getStatus()).isEqualTo(TestExecutionResult.Status.SUCCESSFUL);
        }
    }

    @TestFactory
    List<DynamicTest> scenarios() {
        final LauncherDiscoveryRequest request =
                LauncherDiscoveryRequestBuilder.request()
                        .selectors(selectPackage("features"))
                        .filters(EngineFilter.includeEngines("cucumber"))
                        .configurationParameter(GLUE_PROPERTY_NAME, GLUE)
                        .configurationParameter(FILTER_TAGS_PROPERTY_NAME, "not @known-red")
                        .build();
        final ResultCollector collector = new ResultCollector();
        LauncherFactory.create().execute(request, collector);
        assertThat(collector.mTests).as("scenarios that ran").isNotEmpty();
        return collector.mTests;
    }
}
