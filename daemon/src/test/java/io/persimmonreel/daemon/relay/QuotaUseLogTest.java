package io.persimmonreel.daemon.relay;

import static org.assertj.core.api.Assertions.assertThat;

import io.persimmonreel.daemon.log.EventLog;
import io.persimmonreel.daemon.time.SystemTimeSource;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class QuotaUseLogTest {
    private final ByteArrayOutputStream mOut = new ByteArrayOutputStream();
    private final EventLog mLog =
            new EventLog("test", new SystemTimeSource(), new PrintStream(mOut, true));
    private final RelayMetrics mMetrics = new RelayMetrics();
    private final QuotaUseLog mUse = new QuotaUseLog(mLog, mMetrics, 0);

    private String write(final long millis) {
        mUse.write(TimeUnit.MILLISECONDS.toNanos(millis));
        mLog.close();
        return mOut.toString(StandardCharsets.UTF_8);
    }

    @Nested
    class Lines {
        @Test
        void addUpTheUnitsOfACustomerSinceTheLastLine() {
            mUse.add("acme", QuotaEvent.SENT, 300);
            mUse.add("acme", QuotaEvent.SENT, 40);
            mUse.add("acme", QuotaEvent.REFUSED, 5);
            assertThat(write(1_000))
                    .containsOnlyOnce("\"customer\":\"acme\"")
                    .contains("\"interval_ms\":1000", "\"refused\":5", "\"sent\":340");
        }

        @Test
        void areLeftOutWithoutUse() {
            mUse.add("", QuotaEvent.SENT, 300);
            mUse.add("acme", QuotaEvent.SENT, 0);
            assertThat(write(1_000)).isEmpty();
        }

        /** The number of lines is bounded, and the units of all customers stay in them. */
        @Test
        void combineCustomersBeyondTheLimit() {
            for (int i = 0; i < 100; i++) {
                mUse.add("c" + i, QuotaEvent.SENT, 1);
            }
            assertThat(write(1_000).lines())
                    .hasSize(65)
                    .last()
                    .asString()
                    .contains("\"customer\":\"*\"", "\"sent\":36");
        }
    }

    @Nested
    class Metrics {
        @Test
        void countTheUnitsOfEachCustomer() throws IOException {
            mUse.add("acme", QuotaEvent.SENT_AGAIN, 300);
            assertThat(new String(mMetrics.write(), StandardCharsets.UTF_8))
                    .contains(
                            "persimmonreel_relay_quota_units_total{customer=\"acme\","
                                    + "event=\"sent_again\"} 300");
        }
    }
}
