package io.persimmonreel.core.schedule;

import static io.persimmonreel.core.schedule.SchedulerFixture.MILLI;
import static io.persimmonreel.core.schedule.SchedulerFixture.SECOND;
import static org.assertj.core.api.Assertions.assertThat;

import io.persimmonreel.core.peer.Incarnation;
import io.persimmonreel.core.peer.PeerMessage.ShedNotice;
import io.persimmonreel.core.request.ProblemType;
import io.persimmonreel.core.service.Tier;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class DaemonSchedulerTest {
    @Nested
    class LoadShedding {
        /** Guards against urgent requests that wait while a bulk stream occupies the only slot. */
        @Test
        void pausesABulkStreamForAnUrgentRequest() {
            final SchedulerFixture fixture = new SchedulerFixture(1, 1);
            final String bulk = fixture.runBulk(0);
            final String urgent = fixture.offer("urgent", "small", MILLI);
            final List<Directive> directives = fixture.mScheduler.poll(MILLI);
            assertThat(directives.get(0)).isEqualTo(new Directive.Pause(bulk, "engine-0"));
            assertThat(directives.get(1))
                    .isInstanceOfSatisfying(
                            Directive.Dispatch.class,
                            dispatch -> assertThat(dispatch.requestId()).isEqualTo(urgent));
        }

        /** Guards against a refusal before peers had 1 s to pause their lower tiers. */
        @Test
        void refusesOnlyOneSecondAfterThePublishedNotice() {
            final SchedulerFixture fixture = new SchedulerFixture(1, 1);
            fixture.offer("urgent", "large", 0);
            fixture.mScheduler.poll(0);
            fixture.offer("urgent", "small", 0, 2 * SECOND);
            long published = Long.MAX_VALUE;
            long refused = Long.MAX_VALUE;
            for (long now = 0; now <= 3 * SECOND; now += 10 * MILLI) {
                for (final Directive directive : fixture.mScheduler.poll(now)) {
                    if (directive instanceof Directive.Publish) {
                        published = Math.min(published, now);
                    } else if (directive instanceof Directive.Refuse) {
                        refused = Math.min(refused, now);
                    }
                }
            }
            assertThat(refused).isLessThan(3 * SECOND);
            assertThat(refused - published).isGreaterThanOrEqualTo(SECOND);
        }

        /** Guards against lower tiers that keep running while a peer lacks capacity. */
        @Test
        void pausesLowerTiersUntilThePeersNoticeExpires() {
            final SchedulerFixture fixture = new SchedulerFixture(2, 2);
            final String bulk = fixture.runBulk(0);
            fixture.mScheduler.onShedNotice(
                    new Incarnation(2), new ShedNotice("engine", Tier.NORMAL, 0), SECOND);
            assertThat(fixture.poll(Directive.Pause.class, SECOND)).hasSize(1);
            fixture.offer("bulk", "small", SECOND, 100 * SECOND);
            assertThat(fixture.poll(Directive.Dispatch.class, 2 * SECOND)).isEmpty();
            final List<Directive.Resume> resumed =
                    fixture.poll(Directive.Resume.class, 3 * SECOND + MILLI);
            assertThat(resumed).containsExactly(new Directive.Resume(bulk, "engine-0", ""));
        }
    }

    @Nested
    class RepeatedPauses {
        /** Guards against a stream that never ends because urgent requests keep pausing it. */
        @Test
        void leavesTheSlotToTheStreamAfterFourPauses() {
            final SchedulerFixture fixture = new SchedulerFixture(1, 1);
            fixture.runBulk(0);
            long now = 0;
            int pauses = 0;
            for (int i = 0; i < 8; i++) {
                now += 10 * MILLI;
                final String urgent = fixture.offer("urgent", "small", now);
                pauses += fixture.poll(Directive.Pause.class, now).size();
                fixture.mScheduler.onFinished(urgent, Completion.ANSWERED, now + MILLI);
                fixture.mScheduler.poll(now + MILLI);
            }
            assertThat(pauses).isEqualTo(StreamPauser.MAXIMUM_PAUSES);
        }
    }

    @Nested
    class StarvationByOneCustomer {
        /** Guards against a customer whose long queue delays all other customers. */
        @Test
        void isPreventedByTakingTurns() {
            final SchedulerFixture fixture = new SchedulerFixture(1, 8);
            for (int i = 0; i < 200; i++) {
                fixture.offer("normal", "large", 0);
            }
            final Set<String> small = new HashSet<>();
            small.add(fixture.offer("normal", "small", 0));
            small.add(fixture.offer("normal", "small", 0));
            final List<String> dispatched = new ArrayList<>();
            fixture.poll(Directive.Dispatch.class, MILLI)
                    .forEach(dispatch -> dispatched.add(dispatch.requestId()));
            assertThat(dispatched).containsAll(small);
        }

        /** Guards against one customer that fills the whole queue of a tier. */
        @Test
        void isPreventedByABoundedQueuePerCustomer() {
            final SchedulerFixture fixture = new SchedulerFixture(1, 1);
            for (int i = 0; i <= TierQueue.MAXIMUM_ENTRIES / 2; i++) {
                fixture.offer("normal", "large", 0);
            }
            assertThat(fixture.poll(Directive.Refuse.class, 0))
                    .singleElement()
                    .satisfies(
                            refusal ->
                                    assertThat(refusal.type())
                                            .isEqualTo(ProblemType.QUOTA_EXCEEDED));
        }
    }

    @Nested
    class RequestsThatCannotMeetTheirDeadline {
        /** Guards against running a request whose response can't arrive before the deadline. */
        @Test
        void areRefusedOnArrival() {
            final SchedulerFixture fixture = new SchedulerFixture(1, 1);
            fixture.offer("urgent", "small", 0, 5 * MILLI);
            assertThat(fixture.poll(Directive.Refuse.class, 0))
                    .singleElement()
                    .satisfies(
                            refusal ->
                                    assertThat(refusal.type())
                                            .isEqualTo(ProblemType.DEADLINE_UNREACHABLE));
        }
    }

    @Nested
    class UnavailableDependency {
        /** Guards against running a request on an engine although a service it needs is down. */
        @Test
        void holdsTheRequestBackUntilTheDependencyIsServable() {
            final SchedulerFixture fixture = new SchedulerFixture(1, 1);
            fixture.mScheduler.onAvailability("plain-0", ReplicaAvailability.DOWN, 0);
            assertThat(fixture.mScheduler.isServable("lookup")).isFalse();
            fixture.offer("reply", "small", 0);
            assertThat(fixture.poll(Directive.Dispatch.class, MILLI)).isEmpty();
            fixture.mScheduler.onAvailability("plain-0", ReplicaAvailability.LIVE, SECOND);
            assertThat(fixture.poll(Directive.Dispatch.class, SECOND)).hasSize(1);
        }
    }

    @Nested
    class BrokenStream {
        /** Guards against a second dispatch of a stream whose connection broke. */
        @Test
        void isResumedOnTheSameReplica() {
            final SchedulerFixture fixture = new SchedulerFixture(1, 1);
            final String id = fixture.runBulk(0);
            fixture.mScheduler.onFinished(id, Completion.BROKEN, MILLI);
            assertThat(fixture.mScheduler.poll(MILLI))
                    .containsExactly(new Directive.Resume(id, "engine-0", ""));
        }

        /** Guards against losing a stream whose replica leaves. */
        @Test
        void isMovedWithItsCacheWhenTheReplicaLeaves() {
            final SchedulerFixture fixture = new SchedulerFixture(2, 1);
            final String id = fixture.offer("bulk", "large", 0, 120 * SECOND);
            final String first = fixture.poll(Directive.Dispatch.class, 0).get(0).replica();
            fixture.mScheduler.onTokens(id, 1, 0);
            fixture.mScheduler.onAvailability(first, ReplicaAvailability.LEAVING, MILLI);
            fixture.mScheduler.onFinished(id, Completion.BROKEN, MILLI);
            final String other = first.equals("engine-0") ? "engine-1" : "engine-0";
            assertThat(fixture.mScheduler.poll(MILLI))
                    .containsExactly(new Directive.Resume(id, other, first));
        }
    }

    @Nested
    class RetryBudget {
        /** Guards against retries that multiply the load when no replica can be reached. */
        @Test
        void boundsTheDispatches() {
            final SchedulerFixture fixture = new SchedulerFixture(8, 8);
            int dispatches = 0;
            for (int i = 0; i < 100; i++) {
                fixture.offer("urgent", "small", i);
            }
            for (int now = 100; now < 200; now++) {
                for (final Directive directive : fixture.mScheduler.poll(now)) {
                    if (directive instanceof Directive.Dispatch dispatch) {
                        dispatches++;
                        fixture.mScheduler.onFinished(
                                dispatch.requestId(), Completion.NOT_SENT, now);
                    }
                }
            }
            assertThat(dispatches).isLessThanOrEqualTo(100 + 10 + 3);
        }
    }
}
