package io.persimmonreel.core.claim;

import io.persimmonreel.core.peer.Incarnation;
import io.persimmonreel.core.peer.PeerMessage.ClaimReply;
import io.persimmonreel.core.peer.PeerMessage.ClaimRequest;
import io.persimmonreel.core.peer.PeerMessage.ClaimVerdict;
import java.util.concurrent.TimeUnit;

/**
 * Decides whether this daemon, as a member of a claim group, grants a claim. It grants one only if
 * it can confirm from its own memory that the identity was not claimed before.
 */
final class ClaimGranter {
    /** The reason given by a member that has not run long enough to grant an opaque key. */
    static final String SHORT_UPTIME = "the uptime is below the repeat window";

    private final ClaimContext mContext;
    private final ContinuousUptime mUptime;
    private final ClaimTable mTable;
    private final KeyIssuer mIssuer;
    private final long mProcessStartNanos;

    ClaimGranter(
            final ClaimContext context,
            final ContinuousUptime uptime,
            final ClaimTable table,
            final KeyIssuer issuer,
            final long processStartNanos) {
        mContext = context;
        mUptime = uptime;
        mTable = table;
        mIssuer = issuer;
        mProcessStartNanos = processStartNanos;
    }

    ClaimReply handle(
            final Incarnation from,
            final ClaimRequest request,
            final ClaimParameters parameters,
            final long nowNanos,
            final long wallMillis) {
        final IdempotencyKey key = IdempotencyKey.parse(request.identity().key(), mIssuer);
        final ClaimReply refusal = refusal(request, key, parameters, nowNanos, wallMillis);
        final boolean opaque = key.kind() == IdempotencyKey.Kind.OPAQUE;
        return mTable.claim(from, request, refusal, opaque, nowNanos);
    }

    boolean canConfirm(
            final ClaimRequest request,
            final ClaimParameters parameters,
            final long nowNanos,
            final long wallMillis) {
        final IdempotencyKey key = IdempotencyKey.parse(request.identity().key(), mIssuer);
        return refusal(request, key, parameters, nowNanos, wallMillis) == null;
    }

    private ClaimReply refusal(
            final ClaimRequest request,
            final IdempotencyKey key,
            final ClaimParameters parameters,
            final long nowNanos,
            final long wallMillis) {
        if (parameters == null) {
            return unconfirmed(request, "no accepted configuration");
        }
        switch (key.kind()) {
            case ISSUED:
                return refuseIssued(request, key, nowNanos);
            case TIMED:
                if (wallMillis - key.timeMillis() > ClaimLimits.KEY_MAX_AGE_MILLIS) {
                    return ClaimTable.reply(request, ClaimVerdict.EXPIRED, null, "the key is old");
                }
                if (key.timeMillis() > wallMillis + parameters.skewMillis()) {
                    return unconfirmed(request, "the key's time is in the future");
                }
                if (!mUptime.hasRunSince(key.timeMillis(), parameters.skewMillis())) {
                    return unconfirmed(request, "the member did not run at the key's time");
                }
                return refuseIfOversized(request, parameters);
            case OPAQUE:
                if (!mUptime.hasUptime(parameters.opaqueUptimeNanos(), nowNanos)) {
                    return unconfirmed(request, SHORT_UPTIME);
                }
                return refuseIfOversized(request, parameters);
            default:
                return unconfirmed(request, "the key is not valid");
        }
    }

    private ClaimReply refuseIssued(
            final ClaimRequest request, final IdempotencyKey key, final long nowNanos) {
        if (!mContext.self().equals(key.issuer())) {
            return unconfirmed(request, "the key was issued by another daemon");
        }
        final long ageMillis = processUptimeMillis(nowNanos) - key.timeMillis();
        if (ageMillis > ClaimLimits.KEY_MAX_AGE_MILLIS) {
            return ClaimTable.reply(request, ClaimVerdict.EXPIRED, null, "the key is old");
        }
        return null;
    }

    private ClaimReply refuseIfOversized(
            final ClaimRequest request, final ClaimParameters parameters) {
        return mContext.isOversized(parameters.groupOf(request.identity()))
                ? unconfirmed(request, "more than maximumDaemons members are live")
                : null;
    }

    String issueKey(final long nowNanos) {
        return mIssuer.issue(processUptimeMillis(nowNanos));
    }

    private long processUptimeMillis(final long nowNanos) {
        return TimeUnit.NANOSECONDS.toMillis(nowNanos - mProcessStartNanos);
    }

    private static ClaimReply unconfirmed(final ClaimRequest request, final String reason) {
        return ClaimTable.reply(request, ClaimVerdict.NO_VOUCH, null, reason);
    }
}
