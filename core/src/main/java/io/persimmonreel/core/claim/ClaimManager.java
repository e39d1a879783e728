package io.persimmonreel.core.claim;

import io.persimmonreel.core.config.Configuration;
import io.persimmonreel.core.explain.DecisionLog;
import io.persimmonreel.core.peer.Incarnation;
import io.persimmonreel.core.peer.PeerMessage;
import io.persimmonreel.core.peer.PeerMessage.AnswerReply;
import io.persimmonreel.core.peer.PeerMessage.AnswerRequest;
import io.persimmonreel.core.peer.PeerMessage.ClaimPhase;
import io.persimmonreel.core.peer.PeerMessage.ClaimQuery;
import io.persimmonreel.core.peer.PeerMessage.ClaimRelease;
import io.persimmonreel.core.peer.PeerMessage.ClaimReply;
import io.persimmonreel.core.peer.PeerMessage.ClaimRequest;
import io.persimmonreel.core.peer.PeerMessage.ClaimVerdict;
import io.persimmonreel.core.peer.PeerMessage.OutcomeNotice;
import io.persimmonreel.core.peer.PeerSender;
import io.persimmonreel.core.request.Outcome;
import io.persimmonreel.core.request.RequestIdentity;
import io.persimmonreel.core.time.TimeSource;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Ensures that a request with an idempotency key is dispatched at most once in the fleet.
 *
 * <p>A request may be dispatched only after a quorum of members granted a claim on its identity. A
 * member grants a claim only if it has run without interruption since before the key can have been
 * used first, so a restarted member needs no stored state. This class is thread safe and calls
 * listeners and the sender without holding a lock, possibly before {@link #begin} returns.
 */
public final class ClaimManager {
    private final ClaimContext mContext;
    private final PeerSender mSender;
    private final ContinuousUptime mUptime;
    private final ClaimTable mTable;
    private final KeyIssuer mIssuer;
    private final ClaimGranter mGranter;
    private final AnswerStore mAnswers = new AnswerStore(ClaimLimits.MAXIMUM_ANSWER_STORE_BYTES);
    private final AttemptTable mAttempts;
    private final ClaimRequester mRequester;
    private final AtomicLong mLastSweepNanos;

    /**
     * Creates a manager. The process counts as started now.
     *
     * @param self this daemon's incarnation
     * @param slot this daemon's slot
     * @param time the source of monotonic and wall time
     * @param sender sends messages to other daemons
     * @param log receives decision records
     * @param fleetSecret the secret that authenticates issued keys, copied
     */
    public ClaimManager(
            final Incarnation self,
            final int slot,
            final TimeSource time,
            final PeerSender sender,
            final DecisionLog log,
            final byte[] fleetSecret) {
        this(self, slot, time, sender, log, fleetSecret, ClaimLimits.MAXIMUM_ENTRIES);
    }

    ClaimManager(
            final Incarnation self,
            final int slot,
            final TimeSource time,
            final PeerSender sender,
            final DecisionLog log,
            final byte[] fleetSecret,
            final int maximumEntries) {
        mContext = new ClaimContext(self, slot, time, log);
        mSender =
                (to, message) -> {
                    if (to.equals(self)) {
                        onMessage(self, message);
                    } else {
                        sender.send(to, message);
                    }
                };
        mUptime = new ContinuousUptime(time);
        mTable = new ClaimTable(maximumEntries);
        mIssuer = new KeyIssuer(self, fleetSecret);
        final long start = time.monotonicNanos();
        mGranter = new ClaimGranter(mContext, mUptime, mTable, mIssuer, start);
        mAttempts = new AttemptTable(mContext, mSender, mAnswers);
        mRequester = new ClaimRequester(mContext, mSender, mAttempts, mAnswers, mUptime);
        mLastSweepNanos = new AtomicLong(start);
    }

    /**
     * Applies an accepted configuration. A change of the claim groups restarts this daemon's
     * continuous uptime, because a quorum before the change need not overlap with one after it.
     *
     * @param configuration the accepted configuration
     */
    public void configure(final Configuration configuration) {
        final ClaimParameters earlier = mContext.parameters();
        final ClaimParameters parameters = ClaimParameters.of(configuration, earlier);
        if (earlier != null && !parameters.hasSameGrouping(earlier)) {
            mUptime.restart(mContext.nowNanos());
            mContext.log("", "uptime restarted", "", "the claim groups changed");
        }
        mContext.updateParameters(parameters);
    }

    /**
     * Replaces the set of live daemons. It decides which members are asked for a claim, but not how
     * many grants are needed.
     *
     * @param liveSlots the slots of the live incarnations; this daemon is added if missing
     */
    public void updateLiveMembers(final Map<Incarnation, Integer> liveSlots) {
        mContext.updateLiveSlots(liveSlots);
    }

    /**
     * Issues an idempotency key on which only this incarnation can grant a claim.
     *
     * @return a new key, valid for 15 minutes of this daemon's uptime
     */
    public String issueKey() {
        return mGranter.issueKey(mContext.nowNanos());
    }

    /**
     * Starts to claim a request identity. The listener receives the result exactly once.
     *
     * @param requestId the request's id, used in problems and decision records
     * @param identity the identity to claim
     * @param contentDigest SHA-256 of the request's body
     * @param deadlineNanos the request's deadline in monotonic nanoseconds
     * @param listener the receiver of the result
     */
    public void begin(
            final String requestId,
            final RequestIdentity identity,
            final String contentDigest,
            final long deadlineNanos,
            final ClaimListener listener) {
        final IdempotencyKey key = IdempotencyKey.parse(identity.key(), mIssuer);
        final ClaimCall call =
                new ClaimCall(
                        requestId,
                        identity,
                        contentDigest,
                        deadlineNanos,
                        key.issuer(),
                        mContext.nowNanos(),
                        listener);
        if (key.kind() == IdempotencyKey.Kind.MALFORMED) {
            listener.onRefused(ClaimProblems.malformedKey(call));
        } else if (key.kind() == IdempotencyKey.Kind.INVALID_MAC) {
            listener.onRefused(ClaimProblems.unverifiableKey(call));
        } else {
            mRequester.begin(call);
        }
    }

    /**
     * Marks an attempt as dispatched, immediately before the first byte is sent to an upstream.
     *
     * @param attempt the attempt that holds the claim
     * @return true if the request may be dispatched; false if the attempt was renounced, is past
     *     its deadline or was dispatched before
     */
    public boolean markDispatched(final long attempt) {
        return mAttempts.markDispatched(attempt);
    }

    /**
     * Gives up an attempt before dispatch and releases its claim.
     *
     * @param attempt the attempt that holds the claim
     * @return true if the attempt was not dispatched and never will be, so that "not run" may be
     *     reported; false otherwise
     */
    public boolean renounce(final long attempt) {
        return mAttempts.renounce(attempt);
    }

    /**
     * Ends a dispatched attempt, stores its answer and notifies the members.
     *
     * @param attempt the dispatched attempt
     * @param outcome {@code RAN} if the whole answer was received; any other outcome is recorded as
     *     {@code MAY_HAVE_RUN}
     * @param status the HTTP status given to the caller
     * @param contentType the media type of the answer
     * @param body the body of the answer, not copied; stored only up to 64 KiB
     */
    public void finish(
            final long attempt,
            final Outcome outcome,
            final int status,
            final String contentType,
            final byte[] body) {
        mAttempts.finish(attempt, outcome, status, contentType, body);
    }

    /**
     * Handles a message of the claim protocol and ignores all others.
     *
     * @param from the sending incarnation
     * @param message the message
     */
    public void onMessage(final Incarnation from, final PeerMessage message) {
        if (message instanceof ClaimRequest request) {
            onRequest(from, request);
        } else if (message instanceof ClaimReply reply) {
            mRequester.onReply(from, reply);
        } else if (message instanceof ClaimRelease release) {
            mTable.release(from, release.attempt(), release.identity());
        } else if (message instanceof ClaimQuery query) {
            mAttempts.replyToQuery(from, query.attempt(), query.identity());
        } else if (message instanceof OutcomeNotice notice) {
            onOutcome(from, notice);
        } else if (message instanceof AnswerRequest request) {
            onAnswerRequest(from, request);
        } else if (message instanceof AnswerReply reply) {
            mRequester.onAnswer(from, reply);
        }
    }

    private void onRequest(final Incarnation from, final ClaimRequest request) {
        final long now = mContext.nowNanos();
        final ClaimParameters parameters = mContext.parameters();
        if (parameters != null) {
            mUptime.restartIfInterrupted(now, parameters.skewMillis())
                    .ifPresent(this::logUptimeRestart);
        }
        final ClaimReply reply = decide(from, request, parameters, now);
        if (reply.verdict() == ClaimVerdict.HELD && reply.phase() == ClaimPhase.CLAIMED) {
            // The message that released the claim may have been lost.
            mTable.find(request.identity())
                    .filter(entry -> entry.phase() == ClaimPhase.CLAIMED)
                    .ifPresent(
                            entry ->
                                    mSender.send(
                                            entry.holder(),
                                            new ClaimQuery(entry.attempt(), request.identity())));
        }
        mSender.send(from, reply);
    }

    /**
     * Decides on a claim request. If an attempt of this daemon holds the claim here but has no
     * quorum yet, it may yield to the request first; otherwise two daemons that each grant their
     * own claim can both miss the quorum.
     */
    private ClaimReply decide(
            final Incarnation from,
            final ClaimRequest request,
            final ClaimParameters parameters,
            final long nowNanos) {
        final long wall = mContext.wallMillis();
        final ClaimReply reply = mGranter.handle(from, request, parameters, nowNanos, wall);
        final boolean yielded =
                reply.verdict() == ClaimVerdict.HELD
                        && reply.phase() == ClaimPhase.CLAIMED
                        && mGranter.canConfirm(request, parameters, nowNanos, wall)
                        && mTable.find(request.identity())
                                .filter(entry -> entry.holder().equals(mContext.self()))
                                .filter(entry -> mRequester.yieldTo(from, entry.attempt()))
                                .isPresent();
        return yielded ? mGranter.handle(from, request, parameters, nowNanos, wall) : reply;
    }

    private void onOutcome(final Incarnation from, final OutcomeNotice notice) {
        if (notice.outcome() == Outcome.NOT_RUN) {
            mTable.releaseNotRun(from, notice.attempt(), notice.identity(), mContext.nowNanos());
        } else {
            final int status = notice.outcome() == Outcome.RAN ? notice.status() : 0;
            mTable.finish(from, notice.attempt(), notice.identity(), status);
        }
    }

    private void onAnswerRequest(final Incarnation from, final AnswerRequest request) {
        final Optional<AnswerStore.Answer> answer =
                mAnswers.find(request.identity(), mContext.nowNanos())
                        .filter(stored -> stored.contentDigest().equals(request.contentDigest()));
        mSender.send(
                from,
                answer.map(
                                stored ->
                                        new AnswerReply(
                                                request.call(),
                                                true,
                                                stored.status(),
                                                stored.contentType(),
                                                stored.body()))
                        .orElseGet(
                                () -> new AnswerReply(request.call(), false, 0, "", new byte[0])));
    }

    /**
     * Detects pauses and clock jumps, resends or ends pending claim requests and drops expired
     * entries. Must be called every 100 ms.
     *
     * @param nowNanos the present monotonic time in nanoseconds
     */
    public void onTimer(final long nowNanos) {
        final ClaimParameters parameters = mContext.parameters();
        final long skew = parameters == null ? 0L : parameters.skewMillis();
        mUptime.onTimer(nowNanos, skew).ifPresent(this::logUptimeRestart);
        mRequester.onTimer(nowNanos);
        final long lastSweep = mLastSweepNanos.get();
        if (parameters != null
                && nowNanos - lastSweep >= ClaimLimits.SWEEP_INTERVAL_NANOS
                && mLastSweepNanos.compareAndSet(lastSweep, nowNanos)) {
            mTable.expire(parameters, nowNanos);
            mAttempts.expire(parameters.longestRetentionNanos(), nowNanos);
            mAnswers.expire(nowNanos);
        }
    }

    private void logUptimeRestart(final String reason) {
        mContext.log("", "uptime restarted", mContext.self().toString(), reason);
    }
}
