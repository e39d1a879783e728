package io.persimmonreel.core.customer;

import static org.assertj.core.api.Assertions.assertThat;

import io.persimmonreel.core.config.Configuration;
import io.persimmonreel.core.config.Digests;
import io.persimmonreel.core.config.FleetSpec;
import io.persimmonreel.core.customer.QuotaDecision.Verdict;
import io.persimmonreel.core.time.ManualTime;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class CustomerDirectoryTest {
    private final ManualTime mTime = new ManualTime();
    private final CustomerDirectory mDirectory = new CustomerDirectory(mTime);

    private static CustomerSpec customer(
            final String id,
            final int maximumConcurrent,
            final double perSecond,
            final String... keys) {
        final List<String> digests = Arrays.stream(keys).map(Digests::sha256Hex).toList();
        return new CustomerSpec(id, digests, 1, maximumConcurrent, perSecond);
    }

    private void configure(final CustomerSpec... customers) {
        final FleetSpec fleet =
                new FleetSpec("t", 7, 1, Duration.ZERO, Duration.ZERO, List.of("z"));
        final Map<String, CustomerSpec> byId =
                Arrays.stream(customers)
                        .collect(Collectors.toMap(CustomerSpec::id, Function.identity()));
        mDirectory.onConfiguration(
                new Configuration(1, "", "", fleet, byId, Map.of(), Map.of(), 1));
    }

    private int admitted(final String id, final int attempts) {
        int count = 0;
        for (int i = 0; i < attempts; i++) {
            if (mDirectory.admit(id).isAdmitted()) {
                mDirectory.release(id);
                count++;
            }
        }
        return count;
    }

    @Nested
    class Keys {
        @Test
        void areReplacedByAConfigurationChange() {
            configure(customer("a", 1, 1, "old", "new"), customer("b", 1, 1, "other"));
            assertThat(mDirectory.authenticate("old").orElseThrow().id()).isEqualTo("a");
            assertThat(mDirectory.authenticate("new").orElseThrow().id()).isEqualTo("a");
            assertThat(mDirectory.authenticate("other").orElseThrow().id()).isEqualTo("b");
            assertThat(mDirectory.authenticate("none")).isEmpty();
            assertThat(mDirectory.authenticate("")).isEmpty();
            assertThat(mDirectory.authenticate("x".repeat(100_000))).isEmpty();
            configure(customer("a", 1, 1, "new"));
            assertThat(mDirectory.authenticate("old")).as("withdrawn key").isEmpty();
        }

        /** Guards against accepting a key because only the prefix of its digest matches. */
        @Test
        void areComparedByTheWholeDigest() {
            final String digest = Digests.sha256Hex("k");
            final String similar = digest.substring(0, 63) + (digest.endsWith("0") ? "1" : "0");
            configure(new CustomerSpec("b", List.of(similar), 1, 1, 1));
            assertThat(mDirectory.authenticate("k")).isEmpty();
            configure(new CustomerSpec("b", List.of(similar), 1, 1, 1), customer("a", 1, 1, "k"));
            assertThat(mDirectory.authenticate("k").orElseThrow().id()).isEqualTo("a");
        }

        /** Guards against a lookup that compares the keys of all customers, at the design size. */
        @Test
        void areFoundAmongThirteenThousandCustomers() {
            configure(
                    IntStream.range(0, 13_000)
                            .mapToObj(i -> customer("c" + i, 1, 1, "key" + i))
                            .toArray(CustomerSpec[]::new));
            final long start = System.nanoTime();
            for (int i = 0; i < 13_000; i++) {
                assertThat(mDirectory.authenticate("key" + i).orElseThrow().id())
                        .isEqualTo("c" + i);
            }
            // A linear search would make 169 million comparisons.
            assertThat(Duration.ofNanos(System.nanoTime() - start))
                    .isLessThan(Duration.ofSeconds(2));
        }
    }

    @Nested
    class Rate {
        @Test
        void isDividedByTheLiveDaemons() {
            configure(customer("a", 10, 70, "k"));
            mDirectory.updateLiveDaemons(7);
            assertThat(admitted("a", 100)).as("burst of 2 s").isEqualTo(20);
            mTime.advance(Duration.ofSeconds(1));
            assertThat(admitted("a", 100)).isEqualTo(10);
            mTime.advance(Duration.ofHours(1));
            assertThat(admitted("a", 100)).as("the bucket is bounded").isEqualTo(20);
        }

        @Test
        void tellsWhenToRetry() {
            configure(customer("a", 10, 0.1, "k"));
            assertThat(admitted("a", 5)).isEqualTo(1);
            final QuotaDecision refused = mDirectory.admit("a");
            assertThat(refused.verdict()).isEqualTo(Verdict.TOO_MANY_PER_SECOND);
            assertThat(refused.retryAfterMillis()).isEqualTo(10_000);
            mTime.advance(Duration.ofSeconds(10));
            assertThat(admitted("a", 5)).isEqualTo(1);
        }

        /** Guards against a configuration change that refills the bucket of every customer. */
        @Test
        void keepsItsUsageOverAConfigurationChange() {
            configure(customer("a", 10, 10, "k"));
            assertThat(admitted("a", 100)).isEqualTo(20);
            configure(customer("a", 10, 100, "k"));
            assertThat(admitted("a", 100)).isZero();
            mTime.advance(Duration.ofSeconds(1));
            assertThat(admitted("a", 500)).isEqualTo(100);
        }
    }

    @Nested
    class Concurrency {
        @Test
        void isLimitedAndKeptOverAConfigurationChange() {
            configure(customer("a", 2, 1_000, "k"));
            assertThat(mDirectory.admit("a").isAdmitted()).isTrue();
            assertThat(mDirectory.admit("a").isAdmitted()).isTrue();
            assertThat(mDirectory.admit("a").verdict()).isEqualTo(Verdict.TOO_MANY_CONCURRENT);
            configure(customer("b", 1, 1, "l"));
            assertThat(mDirectory.admit("a").verdict()).isEqualTo(Verdict.UNKNOWN_CUSTOMER);
            configure(customer("a", 2, 1_000, "k"));
            assertThat(mDirectory.inProgress("a")).isEqualTo(2);
            mDirectory.release("a");
            assertThat(mDirectory.admit("a").isAdmitted()).isTrue();
        }
    }
}
