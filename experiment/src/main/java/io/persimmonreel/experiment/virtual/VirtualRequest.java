package io.persimmonreel.experiment.virtual;

import io.persimmonreel.core.claim.ClaimListener;
import io.persimmonreel.core.request.Outcome;
import io.persimmonreel.core.request.Problem;
import io.persimmonreel.core.request.RequestIdentity;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;

/**
 * Sends one request with an idempotency key through the claim manager of a daemon, and records what
 * its caller was told.
 */
public final class VirtualRequest implements ClaimListener {
    /** Says how a request ends after it was claimed. */
    public enum Ending {
        /** The upstream answers. */
        ANSWERED,
        /** The upstream runs the request, but the connection to it breaks before the answer. */
        BROKEN,
        /** The daemon gives the request up before it dispatches it. */
        GIVEN_UP
    }

    /**
     * Describes a request.
     *
     * @param identity its identity
     * @param content its body
     * @param ending how it ends after it was claimed
     * @param queueTime the time between claim and dispatch
     * @param serviceTime the time that the upstream takes
     * @param deadline the time from arrival to the deadline
     */
    public record Plan(
            RequestIdentity identity,
            String content,
            Ending ending,
            Duration queueTime,
            Duration serviceTime,
            Duration deadline) {}

    private static final int HTTP_OK = 200;
    private static final int HTTP_BAD_GATEWAY = 502;

    private final VirtualFleet mFleet;
    private final VirtualDaemon mDaemon;
    private final Plan mPlan;
    private final long mStartNanos;
    private long mAnsweredNanos;
    private Outcome mOutcome;
    private String mDetail = "";

    VirtualRequest(final VirtualFleet fleet, final VirtualDaemon daemon, final Plan plan) {
        mFleet = fleet;
        mDaemon = daemon;
        mPlan = plan;
        mStartNanos = fleet.queue().nowNanos();
    }

    void begin() {
        mDaemon.claims()
                .begin(
                        "request",
                        mPlan.identity(),
                        mPlan.content(),
                        mDaemon.time().monotonicNanos() + mPlan.deadline().toNanos(),
                        this);
    }

    @Override
    public void onClaimed(final long attempt) {
        final boolean givenUp = mPlan.ending() == Ending.GIVEN_UP;
        runAfter(mPlan.queueTime(), givenUp ? () -> giveUp(attempt) : () -> dispatch(attempt));
    }

    private void runAfter(final Duration delay, final Runnable action) {
        mFleet.queue().scheduleAfter(delay.toNanos(), () -> mDaemon.runOrDefer(action));
    }

    /** Gives up, then tries to dispatch as a concurrent thread would, which must fail. */
    private void giveUp(final long attempt) {
        answer(
                mDaemon.claims().renounce(attempt) ? Outcome.NOT_RUN : Outcome.MAY_HAVE_RUN,
                "given up");
        if (mDaemon.claims().markDispatched(attempt)) {
            mFleet.recordRun(this);
        }
    }

    private void dispatch(final long attempt) {
        if (!mDaemon.claims().markDispatched(attempt)) {
            giveUp(attempt);
            return;
        }
        mFleet.recordRun(this);
        runAfter(mPlan.serviceTime(), () -> finish(attempt));
    }

    private void finish(final long attempt) {
        final byte[] body = ("answer to " + mPlan.content()).getBytes(StandardCharsets.UTF_8);
        final boolean whole = mPlan.ending() == Ending.ANSWERED;
        final Outcome outcome = whole ? Outcome.RAN : Outcome.MAY_HAVE_RUN;
        mDaemon.claims()
                .finish(attempt, outcome, whole ? HTTP_OK : HTTP_BAD_GATEWAY, "text/plain", body);
        answer(outcome, whole ? "answer to " + mPlan.content() : "connection broke");
    }

    @Override
    public void onRefused(final Problem problem) {
        answer(problem.outcome(), problem.type() + ": " + problem.detail());
    }

    @Override
    public void onStoredAnswer(final int status, final String contentType, final byte[] body) {
        answer(Outcome.RAN, new String(body, StandardCharsets.UTF_8));
    }

    private void answer(final Outcome outcome, final String detail) {
        if (mOutcome != null) {
            mFleet.addViolation("a caller was answered twice: " + mDetail + ", " + detail);
        }
        mOutcome = outcome;
        mDetail = detail;
        mAnsweredNanos = mFleet.queue().nowNanos();
    }

    /** Returns whether the caller was told "not run" when the other request had been sent. */
    boolean excludesRunOf(final VirtualRequest other) {
        return mOutcome == Outcome.NOT_RUN && other.mStartNanos <= mAnsweredNanos;
    }

    RequestIdentity identity() {
        return mPlan.identity();
    }

    /**
     * Returns what the caller was told.
     *
     * @return the outcome, empty while there is no answer
     */
    public Optional<Outcome> outcome() {
        return Optional.ofNullable(mOutcome);
    }

    /**
     * Returns the text of the answer, or the type and the detail of the problem.
     *
     * @return the text, empty while there is no answer
     */
    public String detail() {
        return mDetail;
    }
}
