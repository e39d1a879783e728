package io.persimmonreel.experiment.virtual;

import io.persimmonreel.core.claim.ClaimListener;
import io.persimmonreel.core.request.Outcome;
import io.persimmonreel.core.request.Problem;
import io.persimmonreel.core.request.RequestIdentity;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;

/** Runs one keyed request through the claims of a daemon, and records what its caller was told. */
public final class VirtualRequest implements ClaimListener {
    /** Ways in which a claimed request goes on. */
    public enum Course {
        /** The upstream answers. */
        ANSWERED,
        /** The upstream runs the request and its connection breaks. */
        BROKEN,
        /** The daemon gives the request up before dispatch. */
        GIVEN_UP
    }

    /**
     * Describes a request.
     *
     * @param identity its identity
     * @param content its body
     * @param course what happens once it is claimed
     * @param queued the time between claim and dispatch
     * @param service the time that the upstream takes
     * @param deadline the time from arrival to the deadline
     */
    public record Plan(
            RequestIdentity identity,
            String content,
            Course course,
            Duration queued,
            Duration service,
            Duration deadline) {}

    private static final int OK = 200;
    private static final int BAD_GATEWAY = 502;

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
        final boolean givenUp = mPlan.course() == Course.GIVEN_UP;
        after(mPlan.queued(), givenUp ? () -> giveUp(attempt) : () -> dispatch(attempt));
    }

    private void after(final Duration delay, final Runnable action) {
        mFleet.queue().after(delay.toNanos(), () -> mDaemon.run(action));
    }

    /** Gives up while another thread is about to dispatch, which then must not succeed. */
    private void giveUp(final long attempt) {
        answer(
                mDaemon.claims().renounce(attempt) ? Outcome.NOT_RUN : Outcome.MAY_HAVE_RUN,
                "given up");
        if (mDaemon.claims().markDispatched(attempt)) {
            mFleet.ran(this);
        }
    }

    private void dispatch(final long attempt) {
        if (!mDaemon.claims().markDispatched(attempt)) {
            giveUp(attempt);
            return;
        }
        mFleet.ran(this);
        after(mPlan.service(), () -> finish(attempt));
    }

    private void finish(final long attempt) {
        final byte[] body = ("answer to " + mPlan.content()).getBytes(StandardCharsets.UTF_8);
        final boolean whole = mPlan.course() == Course.ANSWERED;
        final Outcome outcome = whole ? Outcome.RAN : Outcome.MAY_HAVE_RUN;
        mDaemon.claims().finish(attempt, outcome, whole ? OK : BAD_GATEWAY, "text/plain", body);
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
            mFleet.violated("a caller was answered twice: " + mDetail + ", " + detail);
        }
        mOutcome = outcome;
        mDetail = detail;
        mAnsweredNanos = mFleet.queue().nowNanos();
    }

    /** Tells whether this request was told that it did not run after another one had begun. */
    boolean excludes(final VirtualRequest other) {
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
     * Returns the answer or the detail of the problem.
     *
     * @return the text, empty while there is no answer
     */
    public String detail() {
        return mDetail;
    }
}
