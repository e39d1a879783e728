package io.persimmonreel.daemon.operator;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.stream.Stream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class MetricSetTest {
    private final MetricSet mMetrics = new MetricSet();

    private static Stream<String> threads() {
        return Thread.getAllStackTraces().keySet().stream().map(Thread::getName);
    }

    @Nested
    class Observations {
        /** Guards against a wake-up of another thread after each observation. */
        @Test
        void scheduleNoWorkOnOtherThreads() {
            mMetrics.counter("requests_total", "Requests", "kind").labelValues("plain").inc();
            mMetrics.histogram("run_seconds", "Run time", new double[] {1}, "kind")
                    .labelValues("plain")
                    .observe(0.5);
            assertThat(threads()).noneMatch(name -> name.contains("prometheus"));
        }

        @Test
        void areWritten() throws Exception {
            mMetrics.counter("requests_total", "Requests", "kind").labelValues("plain").inc(2);
            assertThat(new String(mMetrics.write(), StandardCharsets.UTF_8))
                    .contains("requests_total{kind=\"plain\"} 2.0");
        }
    }
}
