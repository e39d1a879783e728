package io.persimmonreel.core.claim;

import io.persimmonreel.core.peer.Incarnation;
import io.persimmonreel.core.request.Outcome;
import io.persimmonreel.core.request.Problem;
import io.persimmonreel.core.request.ProblemType;
import io.persimmonreel.core.request.Step;
import java.util.concurrent.TimeUnit;

/** Builds the problems reported to callers whose request obtained no claim. */
final class ClaimProblems {
    private static final long RETRY_AFTER_MILLIS = 1000;

    private ClaimProblems() {}

    static Problem malformedKey(final ClaimCall call) {
        return problem(
                call,
                ProblemType.BAD_REQUEST,
                "the idempotency key must have 8 to 255 visible ASCII characters",
                Outcome.NOT_RUN,
                0L,
                "");
    }

    /**
     * The outcome is unknown: the key may have been issued and used under an earlier fleet secret.
     */
    static Problem unverifiableKey(final ClaimCall call) {
        return mayHaveRun(call, ProblemType.BAD_REQUEST, "the issued key is not valid", 0L, "");
    }

    static Problem notReady(final ClaimCall call) {
        return mayHaveRun(
                call, ProblemType.NOT_READY, "no accepted configuration", RETRY_AFTER_MILLIS, "");
    }

    static Problem keyReused(final ClaimCall call, final String peer) {
        return mayHaveRun(
                call, ProblemType.KEY_REUSED, "the key was used with another body", 0L, peer);
    }

    static Problem keyInProgress(final ClaimCall call, final Incarnation holder) {
        return mayHaveRun(
                call,
                ProblemType.KEY_IN_PROGRESS,
                "another attempt with this key is in progress",
                RETRY_AFTER_MILLIS,
                holder.toString());
    }

    static Problem holderGone(final ClaimCall call, final Incarnation holder) {
        return mayHaveRun(
                call,
                ProblemType.OUTCOME_UNKNOWN,
                "the daemon that held the claim is gone",
                0L,
                holder.toString());
    }

    static Problem outcomeUnknown(final ClaimCall call, final Incarnation holder) {
        return mayHaveRun(
                call,
                ProblemType.OUTCOME_UNKNOWN,
                "an earlier attempt ended with an unknown outcome",
                0L,
                holder.toString());
    }

    static Problem keyExpired(final ClaimCall call) {
        return mayHaveRun(
                call, ProblemType.KEY_EXPIRED, "the key is older than 15 minutes", 0L, "");
    }

    static Problem issuerGone(final ClaimCall call) {
        return mayHaveRun(
                call,
                ProblemType.CLAIM_UNAVAILABLE,
                "the daemon that issued the key is gone",
                0L,
                call.issuer().toString());
    }

    static Problem unavailable(final ClaimCall call, final String reason, final boolean retry) {
        return mayHaveRun(
                call, ProblemType.CLAIM_UNAVAILABLE, reason, retry ? RETRY_AFTER_MILLIS : 0L, "");
    }

    /**
     * Reports that the members have not run long enough to grant an opaque key. There is no time to
     * retry after: a caller that repeats the key only then may have left the repeat window, and a
     * request that ran before the restart would run again. The time in the detail is for new
     * requests.
     */
    static Problem shortUptime(final ClaimCall call, final long remainingNanos) {
        final long seconds =
                TimeUnit.NANOSECONDS.toSeconds(remainingNanos + TimeUnit.SECONDS.toNanos(1) - 1);
        final String waitText =
                seconds == 0
                        ? ""
                        : "; this daemon accepts new keys without a time in " + seconds + " s";
        final String detail =
                ClaimGranter.SHORT_UPTIME
                        + ", which a key without a time needs; for new requests use a UUIDv7 key"
                        + " or a key from POST /v1/keys"
                        + waitText;
        return mayHaveRun(call, ProblemType.CLAIM_UNAVAILABLE, detail, 0L, "");
    }

    static Problem answerLost(final ClaimCall call, final int status, final Incarnation holder) {
        return problem(
                call,
                ProblemType.ANSWER_LOST,
                "the request ran with status " + status + ", its answer is no longer held",
                Outcome.RAN,
                0L,
                holder.toString());
    }

    /** The outcome is certain: the claim was obtained and renounced, so the request never runs. */
    static Problem deadlinePassed(final ClaimCall call) {
        return problem(
                call,
                ProblemType.DEADLINE_UNREACHABLE,
                "the deadline passed while the claim was made",
                Outcome.NOT_RUN,
                0L,
                "");
    }

    private static Problem mayHaveRun(
            final ClaimCall call,
            final ProblemType type,
            final String detail,
            final long retryAfterMillis,
            final String peer) {
        return problem(call, type, detail, Outcome.MAY_HAVE_RUN, retryAfterMillis, peer);
    }

    private static Problem problem(
            final ClaimCall call,
            final ProblemType type,
            final String detail,
            final Outcome outcome,
            final long retryAfterMillis,
            final String peer) {
        return new Problem(
                type, detail, outcome, call.requestId(), retryAfterMillis, Step.CLAIM, peer);
    }
}
