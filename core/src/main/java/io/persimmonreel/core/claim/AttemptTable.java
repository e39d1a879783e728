package io.persimmonreel.core.claim;

import io.persimmonreel.core.peer.Incarnation;
import io.persimmonreel.core.peer.PeerMessage;
import io.persimmonreel.core.peer.PeerMessage.ClaimRelease;
import io.persimmonreel.core.peer.PeerMessage.OutcomeNotice;
import io.persimmonreel.core.peer.PeerSender;
import io.persimmonreel.core.request.Outcome;
import io.persimmonreel.core.request.RequestIdentity;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Holds this daemon's attempts to claim request identities and notifies the members when an attempt
 * ends. An attempt is kept until it ends and then for as long as a member may ask about it.
 */
final class AttemptTable {
    private final ConcurrentHashMap<Long, Attempt> mAttempts = new ConcurrentHashMap<>();
    private final AtomicLong mLastNumber = new AtomicLong();
    private final ClaimContext mContext;
    private final PeerSender mSender;
    private final AnswerStore mAnswers;

    AttemptTable(final ClaimContext context, final PeerSender sender, final AnswerStore answers) {
        mContext = context;
        mSender = sender;
        mAnswers = answers;
    }

    boolean isFull() {
        return mAttempts.size() >= ClaimLimits.MAXIMUM_ENTRIES;
    }

    long nextNumber() {
        return mLastNumber.incrementAndGet();
    }

    Attempt create(
            final ClaimCall call, final List<Incarnation> askedMembers, final long nowNanos) {
        final Attempt attempt =
                new Attempt(
                        nextNumber(),
                        call.requestId(),
                        call.identity(),
                        call.contentDigest(),
                        call.deadlineNanos(),
                        askedMembers,
                        nowNanos);
        mAttempts.put(attempt.number(), attempt);
        return attempt;
    }

    /**
     * Ends an attempt that has no claim and asks the members to release it.
     *
     * @return false if the attempt has ended or obtained its claim already
     */
    boolean abandon(final Attempt attempt) {
        final long now = mContext.nowNanos();
        if (!attempt.transition(Attempt.Phase.CLAIMING, Attempt.Phase.ABANDONED, now)) {
            return false;
        }
        notifyMembers(attempt, new ClaimRelease(attempt.number(), attempt.identity()));
        return true;
    }

    boolean markDispatched(final long number) {
        final Attempt attempt = mAttempts.get(number);
        if (attempt == null) {
            return false;
        }
        final long now = mContext.nowNanos();
        // Members may drop the entry some time after the deadline and grant the claim again.
        if (now - attempt.deadlineNanos() > 0) {
            renounce(attempt, "the deadline passed before dispatch");
            return false;
        }
        return attempt.transition(Attempt.Phase.CLAIMED, Attempt.Phase.DISPATCHED, now);
    }

    boolean renounce(final long number) {
        final Attempt attempt = mAttempts.get(number);
        return attempt != null && renounce(attempt, "given up before dispatch");
    }

    private boolean renounce(final Attempt attempt, final String reason) {
        final long now = mContext.nowNanos();
        if (attempt.transition(Attempt.Phase.CLAIMED, Attempt.Phase.RENOUNCED, now)) {
            mContext.log(attempt.requestId(), "renounced", "", reason);
            notifyMembers(attempt, outcomeNotice(attempt, Outcome.NOT_RUN, 0));
            return true;
        }
        return attempt.phase() == Attempt.Phase.RENOUNCED;
    }

    void finish(
            final long number,
            final Outcome outcome,
            final int status,
            final String contentType,
            final byte[] body) {
        final Attempt attempt = mAttempts.get(number);
        if (attempt == null) {
            return;
        }
        final long now = mContext.nowNanos();
        // After dispatch the upstream may have run the request, so any outcome but RAN is
        // uncertain.
        final boolean ran = outcome == Outcome.RAN;
        final int recordedStatus = ran ? status : 0;
        final Outcome recordedOutcome = ran ? Outcome.RAN : Outcome.MAY_HAVE_RUN;
        if (attempt.phase() != Attempt.Phase.DISPATCHED) {
            return;
        }
        if (ran) {
            mAnswers.put(
                    attempt.identity(),
                    new AnswerStore.Answer(
                            attempt.contentDigest(), status, contentType, body, now));
        }
        if (attempt.finish(recordedOutcome, recordedStatus, now)) {
            mContext.log(attempt.requestId(), "finished", "", recordedOutcome.label());
            notifyMembers(attempt, outcomeNotice(attempt, recordedOutcome, recordedStatus));
        }
    }

    /**
     * Tells a member how an attempt of this daemon ended; sends nothing while it is in progress.
     */
    void replyToQuery(final Incarnation member, final long number, final RequestIdentity identity) {
        final Attempt attempt = mAttempts.get(number);
        if (attempt == null || !attempt.identity().equals(identity)) {
            return;
        }
        endMessage(attempt).ifPresent(message -> mSender.send(member, message));
    }

    private static Optional<PeerMessage> endMessage(final Attempt attempt) {
        final Attempt.State state = attempt.state();
        switch (state.phase()) {
            case ABANDONED:
                return Optional.of(new ClaimRelease(attempt.number(), attempt.identity()));
            case RENOUNCED:
                return Optional.of(outcomeNotice(attempt, Outcome.NOT_RUN, 0));
            case FINISHED:
                return Optional.of(outcomeNotice(attempt, state.outcome(), state.status()));
            default:
                return Optional.empty();
        }
    }

    private static OutcomeNotice outcomeNotice(
            final Attempt attempt, final Outcome outcome, final int status) {
        return new OutcomeNotice(attempt.number(), attempt.identity(), outcome, status);
    }

    private void notifyMembers(final Attempt attempt, final PeerMessage message) {
        attempt.askedMembers().forEach(member -> mSender.send(member, message));
    }

    void expire(final long retentionNanos, final long nowNanos) {
        mAttempts
                .values()
                .removeIf(
                        attempt ->
                                attempt.state().isFinal()
                                        && nowNanos - attempt.state().sinceNanos()
                                                > retentionNanos);
    }
}
