package io.persimmonreel.core.schedule;

import static io.persimmonreel.core.schedule.SchedulerFixture.MILLI;
import static io.persimmonreel.core.schedule.SchedulerFixture.SECOND;
import static org.assertj.core.api.Assertions.assertThat;

import io.persimmonreel.core.peer.Incarnation;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class ReplicaChoiceTest {
    @Nested
    class StaleReportHerd {
        /** Guards against sending all requests to the replica with the lowest, outdated report. */
        @Test
        void isAvoidedAmongEqualReplicas() {
            final SchedulerFixture fixture = new SchedulerFixture(4, 8);
            for (int i = 1; i < 4; i++) {
                fixture.mScheduler.onLoadReport(
                        new LoadReport("engine-" + i, 2, 0, 100, 0, 0, 2500), 0);
            }
            final Map<String, Integer> byReplica = new HashMap<>();
            for (int i = 0; i < 12; i++) {
                fixture.offer("urgent", "small", 0);
            }
            fixture.poll(Directive.Dispatch.class, 0)
                    .forEach(dispatch -> byReplica.merge(dispatch.replica(), 1, Integer::sum));
            assertThat(byReplica.values())
                    .hasSize(4)
                    .allSatisfy(n -> assertThat(n).isBetween(1, 5));
        }
    }

    @Nested
    class FastFailingReplica {
        /** Guards against a replica that attracts requests because it fails them quickly. */
        @Test
        void isAvoidedAfterThreeFailures() {
            final SchedulerFixture fixture = new SchedulerFixture(2, 8);
            int failures = 0;
            long now = 0;
            for (int i = 0; i < 40; i++) {
                now += 20 * MILLI;
                final String id = fixture.offer("urgent", "small", now);
                final String replica = fixture.poll(Directive.Dispatch.class, now).get(0).replica();
                final boolean failing = replica.equals("engine-0");
                failures += failing ? 1 : 0;
                fixture.mScheduler.onFinished(
                        id, failing ? Completion.FAILED : Completion.ANSWERED, now + MILLI);
            }
            assertThat(failures).isLessThanOrEqualTo(3);
        }

        /** Guards against sending all requests to a replica that has just recovered. */
        @Test
        void isProbedByOneRequestBeforeItGetsOthers() {
            final CircuitBreaker breaker = new CircuitBreaker();
            for (int i = 0; i < 3; i++) {
                breaker.onFailure(0);
            }
            assertThat(breaker.allows(MILLI)).isFalse();
            assertThat(breaker.allows(SECOND)).isTrue();
            breaker.onDispatch();
            assertThat(breaker.allows(SECOND)).isFalse();
            assertThat(breaker.onSuccess()).isTrue();
            assertThat(breaker.allows(SECOND)).isTrue();
        }
    }

    @Nested
    class AdaptiveLimit {
        /**
         * Guards against a limit that falls on single slow responses, and against one that never
         * falls.
         */
        @Test
        void fallsOnlyWhenFirstTokensStaySlow() {
            final ConcurrencyLimit limit = new ConcurrencyLimit(8);
            for (int i = 0; i < 100; i++) {
                limit.onLatency(i % 20 == 0 ? 6 : 1, i % 20 == 0 ? 5e8 : 0, 1e8, i * SECOND);
            }
            assertThat(limit.limit()).isEqualTo(8);
            for (int i = 100; i < 200; i++) {
                limit.onLatency(6, 5e8, 1e8, i * SECOND);
            }
            assertThat(limit.limit()).isLessThan(4);
        }
    }

    @Nested
    class OvercommitInAPartition {
        private static final double CAPACITY = 96;

        private int allowancesOfOneSide(final int live, final int lost) {
            final List<Incarnation> members = new ArrayList<>();
            for (int i = 1; i <= live; i++) {
                members.add(new Incarnation(i));
            }
            int sum = 0;
            for (final Incarnation member : members) {
                final CapacityShare share = new CapacityShare(member);
                members.stream()
                        .filter(peer -> !peer.equals(member))
                        .forEach(peer -> share.onPeer(peer, 10));
                share.onMembers(members, lost, 0);
                sum += share.allowance(CAPACITY, 10, 7, 0);
            }
            return sum;
        }

        /** Guards against both sides of a network partition using the whole capacity. */
        @Test
        void isAtMostAQuarter() {
            for (int first = 1; first < 7; first++) {
                final int rounding = 7;
                assertThat(
                                allowancesOfOneSide(first, 7 - first)
                                        + allowancesOfOneSide(7 - first, first))
                        .isLessThanOrEqualTo((int) (CAPACITY * 1.25) + rounding);
            }
            assertThat(allowancesOfOneSide(7, 0)).isBetween((int) CAPACITY - 7, (int) CAPACITY + 7);
        }

        /** Guards against a starting daemon that uses slots of its peers. */
        @Test
        void isAvoidedWhileADaemonStarts() {
            final CapacityShare share = new CapacityShare(SchedulerFixture.SELF);
            share.onMembers(List.of(SchedulerFixture.SELF), 0, 0);
            assertThat(share.allowance(CAPACITY, 50, 7, 0)).isEqualTo((int) (CAPACITY / 14));
            assertThat(share.allowance(CAPACITY, 50, 7, 6 * SECOND)).isEqualTo((int) CAPACITY);
        }
    }
}
