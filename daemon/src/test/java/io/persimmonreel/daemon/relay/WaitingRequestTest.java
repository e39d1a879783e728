package io.persimmonreel.daemon.relay;

import static org.assertj.core.api.Assertions.assertThat;

import io.persimmonreel.core.replica.Replica;
import io.persimmonreel.core.replica.ReplicaEntry;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

/** Guards against requests that are refused while their callers have time. */
class WaitingRequestTest {
    private static final long DEADLINE_MILLIS = 2_900;
    private static final long SHORT_DEADLINE_MILLIS = 1_500;
    private static final long HOUR_MILLIS = TimeUnit.HOURS.toMillis(1);
    private static final long STEP_MILLIS = 40;

    /** More than the latency objective, so that requests don't wait at the replica. */
    private static final double SERVICE_MILLIS = 500;

    private static final ReplicaEntry ENTRY =
            new ReplicaEntry("r0", "app", "127.0.0.1", 1, "zone", 1, false, 1);

    private static final ReplicaEntry SLOW_ENTRY =
            new ReplicaEntry("r1", "app", "127.0.0.1", 2, "zone", 1, false, 1);

    /** Tokens whose prefill takes longer than any caller has time. */
    private static final int LONG_PROMPTS = 1_000_000;

    private VirtualRelay mRelay = newRelay(HeldLimits.STANDARD);
    private final List<VirtualCaller> mCallers = new ArrayList<>();

    private static VirtualRelay newRelay(final HeldLimits limits) {
        final VirtualRelay relay = new VirtualRelay(limits);
        relay.advance(1);
        relay.service().onConfiguration(RelayFixture.configuration(1, 2, 0));
        return relay;
    }

    private VirtualCaller send(final VirtualRequest.Kind kind, final long deadlineMillis) {
        final VirtualCaller caller = mRelay.newCaller();
        caller.send(mRelay.newRequest(kind), deadlineMillis);
        mRelay.settle();
        mCallers.add(caller);
        return caller;
    }

    private VirtualCaller send(final long deadlineMillis) {
        return send(VirtualRequest.Kind.CHARGE, deadlineMillis);
    }

    private Replica addReplica() {
        mRelay.onReplicas(List.of(ENTRY));
        return mRelay.service().replicas().find(ENTRY.id()).orElseThrow();
    }

    /** Adds a replica whose only slot is taken, by a request of which nothing else is known. */
    private Replica addBusyReplica() {
        final Replica replica = addReplica();
        replica.onSent(0);
        replica.onServed(SERVICE_MILLIS);
        return replica;
    }

    private long millisUntilAnswer(final VirtualCaller caller) {
        long millis = 0;
        while (caller.unanswered() > 0 && millis < HOUR_MILLIS) {
            mRelay.advance(STEP_MILLIS);
            millis += STEP_MILLIS;
        }
        return millis;
    }

    private void assertWaits(final VirtualCaller caller, final long millis) {
        assertThat(millisUntilAnswer(caller)).isGreaterThanOrEqualTo(millis);
    }

    /** Lists what a request may wait for; each is over within a second. */
    private enum Reason {
        BUSY(WaitingRequestTest::addBusyReplica),
        RATE_LIMIT(
                test ->
                        test.addReplica()
                                .rateLimit()
                                .onPeerReport(
                                        true,
                                        1,
                                        test.mRelay.monotonicNanos(),
                                        test.mRelay.monotonicNanos())),
        PUSH_BACK(
                test ->
                        test.addReplica()
                                .availability()
                                .onPushBack(
                                        TimeUnit.SECONDS.toNanos(1), test.mRelay.monotonicNanos())),
        NO_REPLICA(test -> {});

        private final Consumer<WaitingRequestTest> mSetUp;

        Reason(final Consumer<WaitingRequestTest> setUp) {
            mSetUp = setUp;
        }
    }

    /** Returns after how long a request is answered that is never sent to a replica. */
    private static long refusalMillis(final Reason reason, final long deadlineMillis) {
        final WaitingRequestTest test = new WaitingRequestTest();
        reason.mSetUp.accept(test);
        return test.millisUntilAnswer(test.send(deadlineMillis));
    }

    @Nested
    class ARequestWithTime {
        @Test
        void waitsForABusyReplica() {
            addBusyReplica();
            assertWaits(send(DEADLINE_MILLIS), DEADLINE_MILLIS / 2);
        }

        @Test
        void waitsForAnyReplica() {
            assertWaits(send(DEADLINE_MILLIS), DEADLINE_MILLIS / 2);
        }

        @Test
        void waitsForAPermitOfARateLimit() {
            Reason.RATE_LIMIT.mSetUp.accept(WaitingRequestTest.this);
            send(DEADLINE_MILLIS);
            mRelay.advance(TimeUnit.SECONDS.toMillis(1) + STEP_MILLIS);
            assertThat(mRelay.isConnecting()).isTrue();
        }

        @Test
        void waitsForTheEndOfAPushBack() {
            Reason.PUSH_BACK.mSetUp.accept(WaitingRequestTest.this);
            send(DEADLINE_MILLIS);
            mRelay.advance(TimeUnit.SECONDS.toMillis(1) + STEP_MILLIS);
            assertThat(mRelay.isConnecting()).isTrue();
        }

        @Test
        void isSentWhenTheReplicaIsFree() {
            final Replica replica = addBusyReplica();
            send(DEADLINE_MILLIS);
            mRelay.advance(TimeUnit.SECONDS.toMillis(1));
            assertThat(mRelay.isConnecting()).isFalse();
            replica.onEnded();
            mRelay.advance(STEP_MILLIS);
            assertThat(mRelay.isConnecting()).isTrue();
        }

        /** Guards against large prompts that are refused for others that are read until then. */
        @Test
        @Tag("known-red")
        void isNotRefusedForPromptsThatAReplicaReadsNow() {
            final Replica replica = addBusyReplica();
            replica.onSent(LONG_PROMPTS);
            send(DEADLINE_MILLIS);
            mRelay.advance(TimeUnit.SECONDS.toMillis(1));
            assertThat(mRelay.service().waiting()).isEqualTo(1);
            replica.onPrefilled(LONG_PROMPTS);
            replica.onEnded();
            replica.onEnded();
            mRelay.advance(STEP_MILLIS);
            assertThat(mRelay.isConnecting()).isTrue();
        }

        /** Guards against requests that are refused for the only replica that is open now. */
        @Test
        @Tag("known-red")
        void isNotRefusedForASlowReplicaWhileAnotherReturns() {
            mRelay.onReplicas(List.of(ENTRY, SLOW_ENTRY));
            final Replica slow = mRelay.service().replicas().find(SLOW_ENTRY.id()).orElseThrow();
            slow.onSent(0);
            slow.onPredictionError(10 * DEADLINE_MILLIS);
            final Replica other = mRelay.service().replicas().find(ENTRY.id()).orElseThrow();
            other.onServed(SERVICE_MILLIS);
            other.availability().onPushBack(TimeUnit.SECONDS.toNanos(1), mRelay.monotonicNanos());
            send(DEADLINE_MILLIS);
            mRelay.advance(TimeUnit.SECONDS.toMillis(1) + STEP_MILLIS);
            assertThat(mRelay.connectingPort()).isEqualTo(ENTRY.port());
        }

        @Test
        void isNeverRefusedSoonerThanOneWithLess() {
            for (final Reason reason : Reason.values()) {
                long longest = 0;
                for (long deadline = 200; deadline <= DEADLINE_MILLIS; deadline += 300) {
                    final long millis = refusalMillis(reason, deadline);
                    assertThat(millis)
                            .as("%s with %s ms", reason, deadline)
                            .isGreaterThanOrEqualTo(longest);
                    longest = millis;
                }
            }
        }
    }

    @Nested
    class ARequestWithoutTime {
        /** A caller that is refused at once has all of its time for another daemon. */
        @Test
        void isRefusedAtOnceIfNoPermitComesInTime() {
            Reason.RATE_LIMIT.mSetUp.accept(WaitingRequestTest.this);
            assertThat(millisUntilAnswer(send(500))).isLessThanOrEqualTo(STEP_MILLIS);
        }

        @Test
        void isRefusedAtOnceIfThePushBackLastsLonger() {
            Reason.PUSH_BACK.mSetUp.accept(WaitingRequestTest.this);
            assertThat(millisUntilAnswer(send(500))).isLessThanOrEqualTo(STEP_MILLIS);
        }

        /** Guards against callers of streams that leave before they are told to return. */
        @Test
        void isRefusedBeforeItsCallerLeaves() {
            final VirtualCaller caller = send(VirtualRequest.Kind.DRAFT, DEADLINE_MILLIS);
            assertThat(millisUntilAnswer(caller)).isLessThanOrEqualTo(2_400);
        }
    }

    @Nested
    class ACallerThatReturns {
        /** Guards against a place in the queue that depends on a guess about earlier attempts. */
        @Test
        void waitsAsLongAsACallerWithTheSameTimeLeft() {
            for (final Reason reason : Reason.values()) {
                final WaitingRequestTest afterOthers = new WaitingRequestTest();
                afterOthers.mRelay.onReplicas(List.of());
                final VirtualCaller first = afterOthers.send(DEADLINE_MILLIS);
                afterOthers.millisUntilAnswer(first);
                reason.mSetUp.accept(afterOthers);
                assertThat(afterOthers.millisUntilAnswer(afterOthers.send(SHORT_DEADLINE_MILLIS)))
                        .as(reason.name())
                        .isEqualTo(refusalMillis(reason, SHORT_DEADLINE_MILLIS));
            }
        }
    }

    @Nested
    class ACallerWithAnUnusualDeadline {
        /** Guards against callers that count as late because another one has more time. */
        @Test
        void changesNoDecisionOnOthers() {
            for (final Reason reason : Reason.values()) {
                final WaitingRequestTest afterUnusual = new WaitingRequestTest();
                afterUnusual.millisUntilAnswer(afterUnusual.send(HOUR_MILLIS));
                reason.mSetUp.accept(afterUnusual);
                assertThat(afterUnusual.millisUntilAnswer(afterUnusual.send(DEADLINE_MILLIS)))
                        .as(reason.name())
                        .isEqualTo(refusalMillis(reason, DEADLINE_MILLIS));
            }
        }
    }

    /** Guards against waiting requests that take all of the memory. */
    @Nested
    class TooManyRequests {
        private static final int MORE = 5;

        @Test
        void areBoundedByRefusingTheLast() {
            final int limit = HeldLimits.STANDARD.requests();
            for (int i = 0; i < limit; i++) {
                send(DEADLINE_MILLIS);
            }
            for (int i = 0; i < MORE; i++) {
                send(SHORT_DEADLINE_MILLIS);
            }
            assertThat(mRelay.service().waiting()).isEqualTo(limit);
            assertThat(mCallers.stream().filter(caller -> caller.unanswered() == 0).count())
                    .isEqualTo(MORE);
            assertThat(mCallers.subList(limit, limit + MORE))
                    .allMatch(caller -> caller.unanswered() == 1);
        }

        @Test
        void areBoundedByTheSizeOfTheirBodies() {
            final long limit = 2_000;
            final int requests = 100;
            mRelay = newRelay(new HeldLimits(requests, limit));
            for (int i = 0; i < requests; i++) {
                send(DEADLINE_MILLIS);
                assertThat(mRelay.service().bufferedBytes()).isLessThanOrEqualTo(limit);
            }
            assertThat(mRelay.service().waiting()).isBetween(1, requests - 1);
        }
    }
}
