package io.persimmonreel.core.claim;

import io.persimmonreel.core.claim.ClaimCall.AnswerFetch;
import io.persimmonreel.core.claim.ClaimCall.Retry;
import io.persimmonreel.core.claim.ClaimCall.Round;
import io.persimmonreel.core.peer.Incarnation;
import io.persimmonreel.core.peer.PeerMessage.AnswerReply;
import io.persimmonreel.core.peer.PeerMessage.AnswerRequest;
import io.persimmonreel.core.peer.PeerMessage.ClaimReply;
import io.persimmonreel.core.peer.PeerMessage.ClaimRequest;
import io.persimmonreel.core.peer.PeerMessage.ClaimVerdict;
import io.persimmonreel.core.peer.PeerSender;
import io.persimmonreel.core.request.Problem;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;

/**
 * Requests claims from the members and stored answers from the holders of finished claims, and
 * reports the results to the listeners.
 */
final class ClaimRequester {
    private final ClaimContext mContext;
    private final PeerSender mSender;
    private final AttemptTable mAttempts;
    private final AnswerStore mAnswers;
    private final ContinuousUptime mUptime;
    private final ConcurrentHashMap<Long, Round> mRounds = new ConcurrentHashMap<>();
    private final ConcurrentLinkedQueue<Retry> mRetries = new ConcurrentLinkedQueue<>();
    private final ConcurrentHashMap<Long, AnswerFetch> mAnswerFetches = new ConcurrentHashMap<>();

    ClaimRequester(
            final ClaimContext context,
            final PeerSender sender,
            final AttemptTable attempts,
            final AnswerStore answers,
            final ContinuousUptime uptime) {
        mContext = context;
        mSender = sender;
        mAttempts = attempts;
        mAnswers = answers;
        mUptime = uptime;
    }

    void begin(final ClaimCall call) {
        final Optional<AnswerStore.Answer> answer =
                mAnswers.find(call.identity(), mContext.nowNanos());
        if (answer.isPresent()) {
            replayAnswer(call, answer.get());
        } else {
            startRound(call, true);
        }
    }

    private void startRound(final ClaimCall call, final boolean first) {
        final ClaimParameters parameters = mContext.parameters();
        if (parameters == null) {
            refuse(call, ClaimProblems.notReady(call));
            return;
        }
        final boolean issued = call.issuer() != null;
        final List<Incarnation> members =
                issued ? List.of(call.issuer()) : mContext.membersFor(call.identity(), parameters);
        final int quorum = issued ? 1 : parameters.quorum();
        final Optional<Problem> unmetPrecondition =
                unmetPrecondition(call, parameters, members, quorum);
        if (unmetPrecondition.isPresent()) {
            refuse(call, unmetPrecondition.get());
            return;
        }
        final long now = mContext.nowNanos();
        final Attempt attempt = mAttempts.create(call, members, now);
        final Round round = new Round(call, attempt, quorum, first, now);
        mRounds.put(attempt.number(), round);
        // A reply of this daemon may end the round at once. A request sent after the release would
        // obtain a claim that is never used.
        members.stream()
                .takeWhile(member -> !attempt.state().isFinal())
                .forEach(member -> sendRequest(round, member));
    }

    private Optional<Problem> unmetPrecondition(
            final ClaimCall call,
            final ClaimParameters parameters,
            final List<Incarnation> members,
            final int quorum) {
        if (mAttempts.isFull()) {
            return Optional.of(ClaimProblems.unavailable(call, "too many attempts are kept", true));
        }
        if (call.issuer() != null) {
            return mContext.liveSlots().containsKey(call.issuer())
                    ? Optional.empty()
                    : Optional.of(ClaimProblems.issuerGone(call));
        }
        if (mContext.isOversized(parameters.groupOf(call.identity()))) {
            final String reason = "more than maximumDaemons members are live";
            return Optional.of(ClaimProblems.unavailable(call, reason, true));
        }
        if (members.size() < quorum) {
            final String reason = members.size() + " of " + quorum + " members are live";
            return Optional.of(ClaimProblems.unavailable(call, reason, true));
        }
        return Optional.empty();
    }

    private void sendRequest(final Round round, final Incarnation member) {
        final ClaimCall call = round.call();
        mSender.send(
                member,
                new ClaimRequest(round.attempt().number(), call.identity(), call.contentDigest()));
    }

    void onReply(final Incarnation from, final ClaimReply reply) {
        final Round round = mRounds.get(reply.attempt());
        if (round == null || !round.attempt().askedMembers().contains(from)) {
            return;
        }
        final long elapsed = mContext.nowNanos() - round.call().beginNanos();
        if (elapsed <= ClaimLimits.CLAIM_WINDOW_NANOS) {
            round.replies().put(from, refuseIfReleasedSince(reply, elapsed));
        }
        evaluate(round, elapsed > ClaimLimits.CLAIM_WINDOW_NANOS);
    }

    /**
     * Replaces a grant by a refusal if the request was reported as not run after this call began.
     * Otherwise a call in progress at the time of that report could still dispatch the request.
     */
    private static ClaimReply refuseIfReleasedSince(
            final ClaimReply reply, final long elapsedNanos) {
        if (reply.verdict() != ClaimVerdict.GRANTED
                || reply.notRunMillis() == ClaimTable.NO_RECENT_NOT_RUN
                || elapsedNanos <= TimeUnit.MILLISECONDS.toNanos(reply.notRunMillis())) {
            return reply;
        }
        return new ClaimReply(
                reply.attempt(),
                ClaimVerdict.HELD,
                reply.holder(),
                reply.phase(),
                0,
                reply.notRunMillis(),
                "released after this request began");
    }

    private void evaluate(final Round round, final boolean windowOver) {
        final Attempt attempt = round.attempt();
        final int askedCount = attempt.askedMembers().size();
        final RoundEvaluator.Evaluation evaluation =
                RoundEvaluator.evaluate(round.replies(), askedCount, round.quorum(), windowOver);
        if (evaluation.result() == RoundEvaluator.Result.WAIT) {
            return;
        }
        if (evaluation.result() == RoundEvaluator.Result.CLAIMED) {
            final long now = mContext.nowNanos();
            if (attempt.transition(Attempt.Phase.CLAIMING, Attempt.Phase.CLAIMED, now)) {
                mRounds.remove(attempt.number());
                onClaimObtained(round, now);
            }
        } else if (mAttempts.abandon(attempt)) {
            mRounds.remove(attempt.number());
            onRoundFailed(round, evaluation);
        }
    }

    private void onClaimObtained(final Round round, final long nowNanos) {
        final ClaimCall call = round.call();
        final long number = round.attempt().number();
        if (nowNanos - call.deadlineNanos() > 0 && mAttempts.renounce(number)) {
            refuse(call, ClaimProblems.deadlinePassed(call));
            return;
        }
        mContext.log(
                call.requestId(),
                "claimed",
                "",
                round.replies().size()
                        + " of "
                        + round.attempt().askedMembers().size()
                        + " replied");
        call.listener().onClaimed(number);
    }

    private void onRoundFailed(final Round round, final RoundEvaluator.Evaluation evaluation) {
        final ClaimCall call = round.call();
        final ClaimReply reply = evaluation.reply();
        final Incarnation holder = new Incarnation(reply == null ? 0L : reply.holder());
        switch (evaluation.result()) {
            case MISMATCH:
                refuse(call, ClaimProblems.keyReused(call, holder.toString()));
                break;
            case FINISHED:
                fetchAnswer(call, reply.status(), holder);
                break;
            case CONTESTED:
                retryOrRefuse(round, holder, round.first());
                break;
            case EXPIRED:
                refuse(call, ClaimProblems.keyExpired(call));
                break;
            case UNCONFIRMED:
                refuse(call, unconfirmedProblem(call, reply.reason()));
                break;
            default:
                refuse(call, ClaimProblems.unavailable(call, "too few members replied", true));
                break;
        }
    }

    /**
     * Ends an attempt that has no quorum yet in favor of a competing one with a lower incarnation
     * id. The call starts another round later, which then finds the competitor's claim. A
     * competitor that granted this attempt does not hold the claim itself, so yielding to it could
     * leave both without a claim.
     *
     * @return true if the attempt ended and its claim at this member was released
     */
    boolean yieldTo(final Incarnation competitor, final long number) {
        final Round round = mRounds.get(number);
        if (round == null
                || competitor.compareTo(mContext.self()) >= 0
                || !mContext.liveSlots().containsKey(competitor)
                || hasGranted(round, competitor)
                || !mAttempts.abandon(round.attempt())) {
            return false;
        }
        mRounds.remove(number);
        mContext.log(
                round.call().requestId(),
                "yielded",
                competitor.toString(),
                "a competing attempt has the lower incarnation id");
        retryOrRefuse(round, competitor, true);
        return true;
    }

    private static boolean hasGranted(final Round round, final Incarnation member) {
        final ClaimReply reply = round.replies().get(member);
        return reply != null && reply.verdict() == ClaimVerdict.GRANTED;
    }

    /**
     * Schedules a second round after a random delay, because two attempts may have split the
     * members, or refuses the request.
     */
    private void retryOrRefuse(
            final Round round, final Incarnation holder, final boolean mayRetry) {
        final ClaimCall call = round.call();
        final long now = mContext.nowNanos();
        if (!mContext.liveSlots().containsKey(holder)) {
            refuse(call, ClaimProblems.holderGone(call, holder));
        } else if (mayRetry && now - call.beginNanos() < ClaimLimits.RETRY_CUTOFF_NANOS) {
            final SplittableRandom random =
                    new SplittableRandom(mContext.self().id() ^ round.attempt().number());
            final long delay =
                    random.nextLong(
                            ClaimLimits.RETRY_DELAY_MINIMUM_NANOS,
                            ClaimLimits.RETRY_DELAY_MAXIMUM_NANOS);
            mRetries.add(new Retry(call, now + delay));
        } else {
            refuse(call, ClaimProblems.keyInProgress(call, holder));
        }
    }

    private Problem unconfirmedProblem(final ClaimCall call, final String reason) {
        final ClaimParameters parameters = mContext.parameters();
        if (parameters == null || !reason.equals(ClaimGranter.SHORT_UPTIME)) {
            return ClaimProblems.unavailable(call, reason, false);
        }
        // Only the uptime of this daemon is known here; another member may have started later.
        final long remaining =
                mUptime.remainingNanos(parameters.opaqueUptimeNanos(), mContext.nowNanos());
        return ClaimProblems.shortUptime(call, remaining);
    }

    private void fetchAnswer(final ClaimCall call, final int status, final Incarnation holder) {
        if (status == 0) {
            refuse(call, ClaimProblems.outcomeUnknown(call, holder));
        } else if (mContext.liveSlots().containsKey(holder)) {
            final long number = mAttempts.nextNumber();
            final long timeout = mContext.nowNanos() + ClaimLimits.CLAIM_WINDOW_NANOS;
            mAnswerFetches.put(number, new AnswerFetch(call, status, holder, timeout));
            mSender.send(holder, new AnswerRequest(number, call.identity(), call.contentDigest()));
        } else {
            refuse(call, ClaimProblems.answerLost(call, status, holder));
        }
    }

    void onAnswer(final Incarnation from, final AnswerReply reply) {
        final AnswerFetch fetch = mAnswerFetches.get(reply.call());
        if (fetch == null
                || !fetch.holder().equals(from)
                || !mAnswerFetches.remove(reply.call(), fetch)) {
            return;
        }
        if (reply.known()) {
            fetch.call()
                    .listener()
                    .onStoredAnswer(reply.status(), reply.contentType(), reply.body());
        } else {
            refuse(fetch.call(), ClaimProblems.answerLost(fetch.call(), fetch.status(), from));
        }
    }

    private void replayAnswer(final ClaimCall call, final AnswerStore.Answer answer) {
        if (answer.contentDigest().equals(call.contentDigest())) {
            call.listener().onStoredAnswer(answer.status(), answer.contentType(), answer.body());
        } else {
            refuse(call, ClaimProblems.keyReused(call, mContext.self().toString()));
        }
    }

    private void refuse(final ClaimCall call, final Problem problem) {
        mContext.log(call.requestId(), "refused", problem.peer(), problem.detail());
        call.listener().onRefused(problem);
    }

    void onTimer(final long nowNanos) {
        for (final Round round : mRounds.values()) {
            if (nowNanos - round.call().beginNanos() > ClaimLimits.CLAIM_WINDOW_NANOS) {
                evaluate(round, true);
            } else if (nowNanos - round.lastSentNanos().get()
                    >= ClaimLimits.RESEND_INTERVAL_NANOS) {
                round.lastSentNanos().set(nowNanos);
                round.attempt().askedMembers().stream()
                        .filter(member -> !round.replies().containsKey(member))
                        .forEach(member -> sendRequest(round, member));
            }
        }
        for (final Retry retry : mRetries) {
            if (nowNanos >= retry.dueNanos() && mRetries.remove(retry)) {
                startRound(retry.call(), false);
            }
        }
        mAnswerFetches.forEach(
                (number, fetch) -> {
                    if (nowNanos >= fetch.timeoutNanos() && mAnswerFetches.remove(number, fetch)) {
                        final ClaimCall call = fetch.call();
                        refuse(
                                call,
                                ClaimProblems.answerLost(call, fetch.status(), fetch.holder()));
                    }
                });
    }
}
