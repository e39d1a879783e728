package io.persimmonreel.core.claim;

import static org.assertj.core.api.Assertions.assertThat;

import io.persimmonreel.core.peer.Incarnation;
import io.persimmonreel.core.peer.PeerMessage;
import io.persimmonreel.core.request.Outcome;
import io.persimmonreel.core.request.ProblemType;
import io.persimmonreel.core.request.RequestIdentity;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests the hazards of the design page that concern claims, each under its number there. */
class ClaimHazardTest {
    private static final String BODY = "digest";
    private static final long NO_DISPATCH = -1L;
    private static final int MINUTE = 60_000;

    private final ClaimFleet mFleet = new ClaimFleet(7L, Duration.ofSeconds(15));

    private RequestIdentity freshIdentity() {
        return mFleet.uuidIdentity(mFleet.trueWallMillis());
    }

    private ClaimFleet.Call call(final int slot, final RequestIdentity identity) {
        final ClaimFleet.Call call = mFleet.call(slot, identity, BODY);
        mFleet.advance(1_500);
        return call;
    }

    private ClaimFleet.Call claim(final int slot, final RequestIdentity identity) {
        final ClaimFleet.Call call = mFleet.call(slot, identity, BODY, NO_DISPATCH, false);
        mFleet.advance(500);
        assertThat(call.mAttempt).isNotNull();
        return call;
    }

    private static void assertRefused(
            final ClaimFleet.Call call, final ProblemType type, final Outcome outcome) {
        assertThat(call.mAttempt).isNull();
        assertThat(call.mProblem.type()).isEqualTo(type);
        assertThat(call.mProblem.outcome()).isEqualTo(outcome);
    }

    @AfterEach
    void requestsRanAtMostOnce() {
        assertThat(mFleet.mViolations).isEmpty();
    }

    @Nested
    class Holders {
        /**
         * Hazard 1: the holder is paused, the caller repeats at another daemon, the holder resumes.
         */
        @Test
        void pausedHolderKeepsItsClaim() {
            final RequestIdentity identity = freshIdentity();
            final ClaimFleet.Call held = claim(0, identity);
            mFleet.pause(0, 10 * MINUTE);
            assertRefused(call(1, identity), ProblemType.KEY_IN_PROGRESS, Outcome.MAY_HAVE_RUN);
            mFleet.advance(2_000);
            held.mNode.run(() -> assertThat(held.mNode.mManager.renounce(held.mAttempt)).isTrue());
            mFleet.advance(10 * MINUTE);
            call(1, identity);
            assertThat(mFleet.dispatchCount(identity)).isEqualTo(1);
        }

        /** Hazard 2: the holder crashes and its replacement receives the repeated request. */
        @Test
        void crashOfTheHolderGivesMayHaveRun() {
            final RequestIdentity identity = freshIdentity();
            final ClaimFleet.Call held = claim(0, identity);
            held.dispatch();
            mFleet.restart(0);
            mFleet.advance(10_000);
            assertRefused(call(0, identity), ProblemType.OUTCOME_UNKNOWN, Outcome.MAY_HAVE_RUN);
            assertThat(mFleet.dispatchCount(identity)).isEqualTo(1);
        }

        /** Hazard 3: all messages that release a claim are lost and its key stays blocked. */
        @Test
        void lostReleaseIsRecoveredByAskingTheHolder() {
            final RequestIdentity identity = freshIdentity();
            final ClaimFleet.Call held = claim(0, identity);
            mFleet.mDropFilter = (to, message) -> message instanceof PeerMessage.OutcomeNotice;
            held.renounce();
            mFleet.advance(100);
            mFleet.mDropFilter = (to, message) -> false;
            assertRefused(call(1, identity), ProblemType.KEY_IN_PROGRESS, Outcome.MAY_HAVE_RUN);
            call(1, identity);
            assertThat(mFleet.dispatchCount(identity)).isEqualTo(1);
        }

        /** Hazard 3: a request that is repeated right after its claim was renounced is refused. */
        @Test
        void releasedClaimIsFreeAtOnce() {
            final RequestIdentity identity = freshIdentity();
            claim(0, identity).renounce();
            mFleet.advance(10);
            call(1, identity);
            assertThat(mFleet.dispatchCount(identity)).isEqualTo(1);
        }

        /** Hazard 4: "not run" is reported by a daemon without a claim, or for a dispatched one. */
        @Test
        void notRunIsReportedOnlyUnderAClaim() {
            final RequestIdentity identity = freshIdentity();
            mFleet.mLossProbability = 1.0;
            final ClaimFleet.Call unclaimed = call(0, identity);
            assertRefused(unclaimed, ProblemType.CLAIM_UNAVAILABLE, Outcome.MAY_HAVE_RUN);
            mFleet.mLossProbability = 0.0;
            final RequestIdentity other = freshIdentity();
            final ClaimFleet.Call ran = claim(0, other);
            final ClaimManager manager = ran.mNode.mManager;
            assertThat(manager.markDispatched(ran.mAttempt)).isTrue();
            assertThat(manager.renounce(ran.mAttempt)).isFalse();
            assertThat(manager.markDispatched(ran.mAttempt)).isFalse();
            final ClaimFleet.Call renounced = claim(0, freshIdentity());
            assertThat(manager.renounce(renounced.mAttempt)).isTrue();
            assertThat(manager.markDispatched(renounced.mAttempt)).isFalse();
            assertThat(manager.renounce(renounced.mAttempt)).isTrue();
        }

        /** Hazard 14: only a daemon that the caller does not ask has the answer. */
        @Test
        void answerIsReplayedByOthersWhileItsHolderLives() {
            final RequestIdentity identity = freshIdentity();
            call(0, identity);
            assertThat(call(1, identity).mAnswer).isEqualTo("ran " + identity.key());
            mFleet.restart(0);
            mFleet.advance(5_000);
            assertRefused(call(1, identity), ProblemType.ANSWER_LOST, Outcome.RAN);
        }

        /** Hazard 14: the answer is too large to store, and the repeated request counts as new. */
        @Test
        void largeAnswerIsReportedAsLost() {
            final RequestIdentity identity = freshIdentity();
            final ClaimFleet.Call held = claim(0, identity);
            held.dispatch();
            held.mNode.mManager.finish(
                    held.mAttempt, Outcome.RAN, 200, "text/plain", new byte[70_000]);
            mFleet.advance(100);
            assertRefused(call(0, identity), ProblemType.ANSWER_LOST, Outcome.RAN);
            assertRefused(call(1, identity), ProblemType.ANSWER_LOST, Outcome.RAN);
        }

        /** Hazard 12: a request with an unknown outcome is run again as if it had not run. */
        @Test
        void unknownOutcomeIsFinal() {
            final RequestIdentity identity = freshIdentity();
            final ClaimFleet.Call held = claim(0, identity);
            held.dispatch();
            held.mNode.mManager.finish(
                    held.mAttempt, Outcome.NOT_RUN, 502, "text/plain", new byte[0]);
            mFleet.advance(100);
            assertRefused(call(1, identity), ProblemType.OUTCOME_UNKNOWN, Outcome.MAY_HAVE_RUN);
        }
    }

    @Nested
    class Members {
        /** Hazard 5: a member with a full table drops entries and grants their keys again. */
        @Test
        void fullMemberRefusesAndDropsNothing() {
            final ClaimTable table = new ClaimTable(1);
            final Incarnation from = new Incarnation(1L);
            final PeerMessage.ClaimRequest first =
                    new PeerMessage.ClaimRequest(1L, ClaimFleet.identity("first-key"), BODY);
            final PeerMessage.ClaimRequest second =
                    new PeerMessage.ClaimRequest(2L, ClaimFleet.identity("second-key"), BODY);
            assertThat(table.claim(from, first, null, false, 0L).verdict())
                    .isEqualTo(PeerMessage.ClaimVerdict.GRANTED);
            assertThat(table.claim(from, second, null, false, 0L).verdict())
                    .isEqualTo(PeerMessage.ClaimVerdict.FULL);
            final Incarnation other = new Incarnation(2L);
            assertThat(table.claim(other, first, null, false, 0L).verdict())
                    .isEqualTo(PeerMessage.ClaimVerdict.HELD);
        }

        /** Hazard 5: members that restarted after a claim grant it again from empty memory. */
        @Test
        void restartedMembersDoNotGrantOldKeys() {
            final RequestIdentity identity = freshIdentity();
            call(0, identity);
            for (int slot = 0; slot < 4; slot++) {
                mFleet.restart(slot);
            }
            mFleet.advance(30_000);
            assertThat(call(1, identity).mProblem.outcome()).isEqualTo(Outcome.RAN);
            assertThat(mFleet.dispatchCount(identity)).isEqualTo(1);
        }

        /** Hazard 6: a host list with only three members makes two grants a quorum. */
        @Test
        void shortHostListDoesNotLowerTheQuorum() {
            final ClaimFleet.Node node = mFleet.mNodes[0];
            node.mManager.updateLiveMembers(
                    Map.of(mFleet.mNodes[1].mId, 1, mFleet.mNodes[2].mId, 2));
            assertRefused(
                    call(0, freshIdentity()), ProblemType.CLAIM_UNAVAILABLE, Outcome.MAY_HAVE_RUN);
        }

        /** Hazard 6: more members than configured run, so that two quorums need not overlap. */
        @Test
        void excessMemberStopsClaimsBeforeItCanGrant() {
            reportExcessMember();
            mFleet.advance(5_000);
            final RequestIdentity identity = freshIdentity();
            assertRefused(call(0, identity), ProblemType.CLAIM_UNAVAILABLE, Outcome.MAY_HAVE_RUN);
            mFleet.mNodes[1].mManager.updateLiveMembers(Map.of());
            assertRefused(call(1, identity), ProblemType.CLAIM_UNAVAILABLE, Outcome.MAY_HAVE_RUN);
        }

        /**
         * Hazard 6: a stopped member and its replacement count as an excess and stop all claims.
         */
        @Test
        void replacementInAnotherSlotDoesNotStopClaims() {
            reportExcessMember();
            mFleet.advance(3_000);
            final RequestIdentity identity = freshIdentity();
            call(0, identity);
            assertThat(mFleet.dispatchCount(identity)).isEqualTo(1);
        }

        private void reportExcessMember() {
            final Map<Incarnation, Integer> live = new HashMap<>();
            for (final ClaimFleet.Node node : mFleet.mNodes) {
                live.put(node.mId, node.mSlot);
            }
            live.put(new Incarnation(1L), ClaimFleet.SIZE);
            for (final ClaimFleet.Node node : mFleet.mNodes) {
                node.mManager.updateLiveMembers(live);
            }
        }

        /** Hazard 7: both sides of a network partition run a request with the same key. */
        @Test
        void onlyTheSideWithAQuorumClaims() {
            mFleet.mConnected = (from, to) -> from < 3 == to < 3;
            final RequestIdentity identity = freshIdentity();
            assertRefused(call(0, identity), ProblemType.CLAIM_UNAVAILABLE, Outcome.MAY_HAVE_RUN);
            call(5, identity);
            assertThat(mFleet.dispatchCount(identity)).isEqualTo(1);
            mFleet.mConnected = (from, to) -> true;
            assertThat(call(0, identity).mAnswer).isNotNull();
        }

        /** Hazard 7: an issued key is refused although its issuer can be reached. */
        @Test
        void issuedKeyIsServedByItsIssuerAlone() {
            final RequestIdentity identity =
                    ClaimFleet.identity(mFleet.mNodes[0].mManager.issueKey());
            mFleet.mConnected = (from, to) -> false;
            call(0, identity);
            assertThat(mFleet.dispatchCount(identity)).isEqualTo(1);
            assertRefused(call(1, identity), ProblemType.CLAIM_UNAVAILABLE, Outcome.MAY_HAVE_RUN);
        }

        /** Hazard 8: all daemons were replaced, so no member knows of the first run. */
        @Test
        void replacedFleetDoesNotGrantOldKeys() {
            final RequestIdentity identity = freshIdentity();
            call(0, identity);
            for (int slot = 0; slot < ClaimFleet.SIZE; slot++) {
                mFleet.restart(slot);
            }
            mFleet.advance(30_000);
            assertRefused(call(1, identity), ProblemType.CLAIM_UNAVAILABLE, Outcome.MAY_HAVE_RUN);
            final RequestIdentity later = freshIdentity();
            call(1, later);
            assertThat(mFleet.dispatchCount(later)).isEqualTo(1);
        }
    }

    @Nested
    class Keys {
        /** Hazard 9: a key without a time was used before the members started. */
        @Test
        void opaqueKeyNeedsTheRepeatWindowAsUptime() {
            final RequestIdentity identity = ClaimFleet.identity("opaque-key");
            for (int slot = 0; slot < ClaimFleet.SIZE; slot++) {
                mFleet.restart(slot);
            }
            mFleet.advance(15_000);
            assertRefused(call(0, identity), ProblemType.CLAIM_UNAVAILABLE, Outcome.MAY_HAVE_RUN);
            mFleet.advance(10_000);
            call(0, identity);
            assertThat(mFleet.dispatchCount(identity)).isEqualTo(1);
        }

        /**
         * Hazard 9: a caller that is told to repeat the key once the uptime is reached leaves the
         * repeat window, so that a request that ran before the restart would run again.
         */
        @Test
        void opaqueKeyRefusalNamesOtherKeysAndGivesNoRetryTime() {
            final RequestIdentity identity = ClaimFleet.identity("opaque-key");
            call(0, identity);
            for (int slot = 0; slot < ClaimFleet.SIZE; slot++) {
                mFleet.restart(slot);
            }
            mFleet.advance(10_000);
            final ClaimFleet.Call repeat = call(0, identity);
            assertRefused(repeat, ProblemType.CLAIM_UNAVAILABLE, Outcome.MAY_HAVE_RUN);
            assertThat(repeat.mProblem.retryAfterMillis()).isZero();
            assertThat(repeat.mProblem.detail())
                    .contains("UUIDv7", "POST /v1/keys")
                    .containsPattern("in [1-9][0-9]* s$");
        }

        /** Hazard 9: with a key time in the future, every member seems to have run long enough. */
        @Test
        void futureKeyIsRefused() {
            final RequestIdentity identity = mFleet.uuidIdentity(mFleet.trueWallMillis() + MINUTE);
            assertRefused(call(0, identity), ProblemType.CLAIM_UNAVAILABLE, Outcome.MAY_HAVE_RUN);
        }

        /**
         * Hazard 10: a request with another body or of another customer gets the answer to a
         * different request.
         */
        @Test
        void otherBodyIsRefusedAndOtherCustomerIsAnotherRequest() {
            final RequestIdentity identity = freshIdentity();
            call(0, identity);
            final ClaimFleet.Call local = mFleet.call(0, identity, "other");
            final ClaimFleet.Call remote = mFleet.call(3, identity, "other");
            mFleet.advance(1_500);
            assertRefused(local, ProblemType.KEY_REUSED, Outcome.MAY_HAVE_RUN);
            assertRefused(remote, ProblemType.KEY_REUSED, Outcome.MAY_HAVE_RUN);
            final RequestIdentity customer = new RequestIdentity("other", "s", identity.key());
            call(3, customer);
            assertThat(mFleet.dispatchCount(customer)).isEqualTo(1);
        }

        /** Hazard 9: a caller forges an issued key, which one daemon alone would grant. */
        @Test
        void forgedIssuedKeyIsRefused() {
            final String key = mFleet.mNodes[0].mManager.issueKey();
            final int digit = key.lastIndexOf('.') - 1;
            final String forged = key.substring(0, digit) + "7" + key.substring(digit + 1);
            assertRefused(
                    call(0, ClaimFleet.identity(forged)),
                    ProblemType.BAD_REQUEST,
                    Outcome.MAY_HAVE_RUN);
            assertRefused(
                    call(0, ClaimFleet.identity("short")),
                    ProblemType.BAD_REQUEST,
                    Outcome.NOT_RUN);
        }

        /** Hazard 11: a key is repeated after the members dropped its entry. */
        @Test
        void oldTimedAndIssuedKeysAreRefused() {
            final RequestIdentity timed = freshIdentity();
            final RequestIdentity issued =
                    ClaimFleet.identity(mFleet.mNodes[0].mManager.issueKey());
            call(0, timed);
            call(0, issued);
            mFleet.advance(10 * MINUTE);
            assertThat(call(0, timed).mAnswer).isNotNull();
            mFleet.advance(15 * MINUTE);
            assertRefused(call(1, timed), ProblemType.KEY_EXPIRED, Outcome.MAY_HAVE_RUN);
            assertRefused(call(1, issued), ProblemType.KEY_EXPIRED, Outcome.MAY_HAVE_RUN);
        }

        /** Hazard 11: after a jump of its wall clock, a member takes an old key for a new one. */
        @Test
        void clockJumpRestartsContinuousUptime() {
            final RequestIdentity identity = freshIdentity();
            for (final ClaimFleet.Node node : mFleet.mNodes) {
                node.mSkewMillis -= MINUTE;
            }
            mFleet.advance(10_000);
            final RequestIdentity before = mFleet.uuidIdentity(mFleet.trueWallMillis() - MINUTE);
            assertRefused(call(0, before), ProblemType.CLAIM_UNAVAILABLE, Outcome.MAY_HAVE_RUN);
            assertThat(mFleet.dispatchCount(identity)).isZero();
        }
    }
}
