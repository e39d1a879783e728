package io.persimmonreel.core.claim;

import io.persimmonreel.core.peer.Incarnation;
import io.persimmonreel.core.peer.PeerMessage.ClaimPhase;
import io.persimmonreel.core.peer.PeerMessage.ClaimReply;
import io.persimmonreel.core.peer.PeerMessage.ClaimVerdict;
import java.util.Collection;
import java.util.Map;
import java.util.Optional;

/** Decides from the members' replies how a round of claim requests ends. */
final class RoundEvaluator {
    /** Lists the results of a round. */
    enum Result {
        WAIT,
        CLAIMED,
        MISMATCH,
        FINISHED,
        CONTESTED,
        EXPIRED,
        UNCONFIRMED,
        UNAVAILABLE
    }

    /**
     * Holds the result of a round and its reason.
     *
     * @param result how the round ends, {@code WAIT} if it does not end yet
     * @param reply the reply that decided the result, or null
     */
    record Evaluation(Result result, ClaimReply reply) {}

    private RoundEvaluator() {}

    static Evaluation evaluate(
            final Map<Incarnation, ClaimReply> replies,
            final int askedCount,
            final int quorum,
            final boolean windowOver) {
        final Collection<ClaimReply> all = replies.values();
        final long granted = all.stream().filter(r -> r.verdict() == ClaimVerdict.GRANTED).count();
        if (granted >= quorum) {
            return new Evaluation(Result.CLAIMED, null);
        }
        final Optional<ClaimReply> mismatch = find(all, ClaimVerdict.MISMATCH);
        if (mismatch.isPresent()) {
            return new Evaluation(Result.MISMATCH, mismatch.get());
        }
        final Optional<ClaimReply> finished =
                all.stream()
                        .filter(r -> r.verdict() == ClaimVerdict.HELD)
                        .filter(r -> r.phase() == ClaimPhase.FINISHED)
                        .findAny();
        if (finished.isPresent()) {
            return new Evaluation(Result.FINISHED, finished.get());
        }
        final int outstanding = windowOver ? 0 : askedCount - replies.size();
        return granted + outstanding >= quorum ? new Evaluation(Result.WAIT, null) : failed(all);
    }

    private static Evaluation failed(final Collection<ClaimReply> all) {
        final Optional<ClaimReply> held = find(all, ClaimVerdict.HELD);
        if (held.isPresent()) {
            return new Evaluation(Result.CONTESTED, held.get());
        }
        final Optional<ClaimReply> expired = find(all, ClaimVerdict.EXPIRED);
        if (expired.isPresent()) {
            return new Evaluation(Result.EXPIRED, expired.get());
        }
        return find(all, ClaimVerdict.NO_VOUCH)
                .map(reply -> new Evaluation(Result.UNCONFIRMED, reply))
                .orElseGet(() -> new Evaluation(Result.UNAVAILABLE, null));
    }

    private static Optional<ClaimReply> find(
            final Collection<ClaimReply> replies, final ClaimVerdict verdict) {
        return replies.stream().filter(reply -> reply.verdict() == verdict).findAny();
    }
}
