package io.persimmonreel.daemon.cost;

import static org.assertj.core.api.Assertions.assertThat;

import io.persimmonreel.core.peer.PeerMessage.MemberNames;
import io.persimmonreel.daemon.operator.MetricSet;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class ControlCostTest {
    private final MetricSet mMetrics = new MetricSet();
    private final ControlCost mCost = new ControlCost(mMetrics);

    private String written() throws Exception {
        return new String(mMetrics.write(), StandardCharsets.UTF_8);
    }

    @Nested
    class Messages {
        @Test
        void areCountedForEachRecipient() throws Exception {
            mCost.onSent(MemberNames.class, 20, 3);
            assertThat(written())
                    .contains(
                            "peer_messages_total{direction=\"sent\",type=\"MemberNames\"} 3.0",
                            "peer_bytes_total{direction=\"sent\",type=\"MemberNames\"} 60.0");
        }

        @Test
        void areCountedWithTheirTime() throws Exception {
            mCost.onReceived(MemberNames.class, 20, TimeUnit.SECONDS.toNanos(2));
            assertThat(written())
                    .contains(
                            "peer_messages_total{direction=\"received\",type=\"MemberNames\"} 1.0",
                            "peer_bytes_total{direction=\"received\",type=\"MemberNames\"} 20.0",
                            "peer_message_seconds_total{type=\"MemberNames\"} 2.0");
        }
    }

    @Nested
    class Timers {
        @Test
        void areCountedWithTheirTime() throws Exception {
            mCost.onRun("digest", TimeUnit.SECONDS.toNanos(1));
            mCost.onRun("digest", TimeUnit.SECONDS.toNanos(2));
            assertThat(written())
                    .contains(
                            "timer_runs_total{timer=\"digest\"} 2.0",
                            "timer_seconds_total{timer=\"digest\"} 3.0");
        }
    }
}
