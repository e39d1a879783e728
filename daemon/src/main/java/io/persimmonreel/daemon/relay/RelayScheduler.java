package io.persimmonreel.daemon.relay;

import io.netty.handler.codec.http.HttpResponseStatus;
import io.persimmonreel.core.admission.Admission;
import io.persimmonreel.core.admission.LeaveRule;
import io.persimmonreel.core.placement.KeptParts;
import io.persimmonreel.core.placement.Placement;
import io.persimmonreel.core.placement.Placement.Choice;
import io.persimmonreel.core.placement.SlotShares;
import io.persimmonreel.core.quota.FleetQuota;
import io.persimmonreel.core.replica.Replica;
import io.persimmonreel.core.replica.ReplicaSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/** Lets attempts wait, and sends or refuses them. All methods run on the event loop. */
final class RelayScheduler {
    /** Callers of an upstream without replicas return after this time. */
    private static final long NO_REPLICA_RETURN_MILLIS = 500;

    /** Attempts looked at when one request ends; the rest would not find room either. */
    private static final int HELD_IN_A_PASS = 8;

    /** Attempts looked at by the timer, which also refuses those that waited too long. */
    private static final int HELD_BY_TIMER = 400;

    /** Sends of one attempt, those to replicas that could not be reached included. */
    private static final int MAXIMUM_SENDS = 6;

    /** Another daemon serves the caller of a leaving one at once. */
    private static final long LEAVING_RETURN_MILLIS = 10;

    private static final double NANOS_PER_MILLI = 1e6;

    private final RelayService mService;
    private final RelayLog mLog;
    private final ReplicaSet mReplicas;
    private final FleetQuota mQuota;
    private final CrashSuspects mSuspects;
    private final KeptParts mKept = new KeptParts();
    private final Placement mPlacement;
    private final Admission mAdmission;
    private final LeaveRule mLeaveRule = new LeaveRule();
    private final WaitingCalls mWaiting = new WaitingCalls();
    private long mEndNanos = Long.MAX_VALUE;

    RelayScheduler(final RelayService service, final RelayLog log, final long seed) {
        mService = service;
        mLog = log;
        mReplicas = service.replicas();
        mQuota = service.quota();
        mSuspects = service.suspects();
        mPlacement = new Placement(mKept, seed);
        mAdmission = new Admission(seed + 1);
    }

    /** Accepts from now on only what will be answered before the process ends. */
    void leave(final long endNanos) {
        mEndNanos = endNanos;
    }

    /** Takes this daemon's share of the replicas' slots. */
    void onShares(final SlotShares shares) {
        mPlacement.onShares(shares);
    }

    /** Returns the number of waiting attempts. */
    int waiting() {
        return mWaiting.size();
    }

    /** Lets an attempt wait, and sends it at once if there is room. */
    void submit(final RelayCall call) {
        mWaiting.add(call);
        place(call.task().upstream());
    }

    void remove(final RelayCall call) {
        mWaiting.remove(call);
    }

    /** Places what waits for any upstream. */
    void placeAll() {
        mWaiting.upstreams().forEach(upstream -> place(upstream, HELD_BY_TIMER));
    }

    /** Places what waits for an upstream, in order. */
    void place(final String upstream) {
        place(upstream, HELD_IN_A_PASS);
    }

    private void place(final String upstream, final int most) {
        if (mWaiting.isEmpty(upstream)) {
            return;
        }
        final List<RelayCall> calls = mWaiting.inOrder(upstream, mService.nowNanos());
        int held = 0;
        for (int i = 0; i < calls.size() && held < most; i++) {
            final RelayCall call = calls.get(i);
            if (call.phase() == RelayCall.Phase.WAITING && !place(call)) {
                held++;
            }
        }
    }

    /** Notes that the replica of an attempt read its prompt. */
    void onPromptRead(final RelayCall call) {
        mKept.onRead(call.task().work(), call.replica(), mService.nowNanos());
    }

    /** Returns when the caller of an attempt that was not run should return, in milliseconds. */
    long returnMillis(final RelayCall call) {
        final double left = call.task().millisLeft(mService.nowNanos());
        return mAdmission.returnMillis(left);
    }

    /** Sends or refuses an attempt, or returns false if it goes on waiting. */
    private boolean place(final RelayCall call) {
        final long now = mService.nowNanos();
        final RelayTask task = call.task();
        final List<Replica> replicas = mReplicas.of(task.upstream());
        final Optional<Choice> chosen = choose(call, replicas, now);
        if (chosen.isEmpty()) {
            return onNoReplica(call, now);
        }
        final Choice choice = chosen.get();
        final Admission.Decision decision =
                mAdmission.decide(
                        task.applicant(now),
                        new Admission.Place(
                                choice.firstMillis(),
                                choice.waitMillis(),
                                choice.load() + choice.withheld(),
                                choice.replica().entry().slots()));
        final boolean sent = call.sends() > 0;
        if (!sent && !mLeaveRule.accepts(choice.totalMillis(), millisUntilEnd(now))) {
            mLog.refused(call, "the daemon is leaving", choice, LEAVING_RETURN_MILLIS);
            refuse(call, "the daemon is leaving", LEAVING_RETURN_MILLIS);
            return true;
        }
        switch (decision.kind()) {
            case SEND:
                mWaiting.remove(call);
                mLog.sent(call, choice, replicas.size(), now);
                call.send(choice);
                mSuspects.onSent(call);
                return true;
            case REFUSE:
                if (!sent) {
                    mLog.refused(call, "all replicas are busy", choice, decision.returnMillis());
                    refuse(call, "all replicas are busy", decision.returnMillis());
                }
                return !sent;
            default:
                return false;
        }
    }

    /** Keeps suspects apart if there are replicas enough. */
    private Optional<Choice> choose(
            final RelayCall call, final List<Replica> replicas, final long now) {
        final RelayTask task = call.task();
        final double left = task.millisLeft(now);
        final Set<String> apart = mSuspects.excluded(call, now);
        final Optional<Choice> chosen = mPlacement.choose(task.work(), replicas, apart, left, now);
        return chosen.isPresent() || apart.equals(call.excluded())
                ? chosen
                : mPlacement.choose(task.work(), replicas, call.excluded(), left, now);
    }

    private double millisUntilEnd(final long now) {
        return mEndNanos == Long.MAX_VALUE ? Double.MAX_VALUE : (mEndNanos - now) / NANOS_PER_MILLI;
    }

    private boolean onNoReplica(final RelayCall call, final long now) {
        if (call.mayHaveRun() || call.hasStarted()) {
            mWaiting.remove(call);
            mService.onFailed(call, HttpResponseStatus.BAD_GATEWAY, "no other replica is left");
            return true;
        }
        // An outage of all replicas may be short, but callers are better off elsewhere after it.
        if (call.task().objectiveLeft(now) > 0 && call.sends() < MAXIMUM_SENDS) {
            call.excluded().clear();
            return false;
        }
        final long returnMillis =
                Math.min(NO_REPLICA_RETURN_MILLIS, (long) (call.task().millisLeft(now) / 4));
        mLog.refused(call, "no replica can be used", null, returnMillis);
        refuse(call, "no replica can be used", returnMillis);
        return true;
    }

    private void refuse(final RelayCall call, final String reason, final long returnMillis) {
        mWaiting.remove(call);
        mQuota.giveBack(call.task().customerName(), call.task().units());
        call.fail(HttpResponseStatus.SERVICE_UNAVAILABLE, reason, returnMillis);
    }
}
