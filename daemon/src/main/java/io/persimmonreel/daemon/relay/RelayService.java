package io.persimmonreel.daemon.relay;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.persimmonreel.core.admission.Admission;
import io.persimmonreel.core.peer.PeerMessage.QuarantineNotice;
import io.persimmonreel.core.placement.KeptParts;
import io.persimmonreel.core.placement.Placement;
import io.persimmonreel.core.placement.Placement.Choice;
import io.persimmonreel.core.placement.WorkSize;
import io.persimmonreel.core.quarantine.Fingerprint;
import io.persimmonreel.core.quarantine.Quarantine;
import io.persimmonreel.core.quarantine.QuarantineDecision;
import io.persimmonreel.core.quota.FleetQuota;
import io.persimmonreel.core.replica.Replica;
import io.persimmonreel.core.replica.ReplicaEntry;
import io.persimmonreel.core.replica.ReplicaSet;
import io.persimmonreel.core.retry.RetryBudget;
import io.persimmonreel.core.route.CallerLimits;
import io.persimmonreel.core.route.EngineProfile;
import io.persimmonreel.core.route.RelayConfiguration;
import io.persimmonreel.core.route.RelayCustomer;
import io.persimmonreel.core.route.Route;
import io.persimmonreel.core.time.TimeSource;
import io.persimmonreel.daemon.directory.DirectoryListener;
import io.persimmonreel.daemon.log.EventLog;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Decides what happens to each relayed request: its route, its customer, its replica, and whether
 * it is sent again. All methods run on the event loop.
 */
final class RelayService implements CallerEvents, DirectoryListener {
    /** Attempts end this long before their deadline, so that the answer still arrives. */
    private static final double DEADLINE_MARGIN_MILLIS = 40;

    /** A replica is told a little less than what is left. */
    private static final long DEADLINE_TOLD_MARGIN_MILLIS = 10;

    /** Deadlines of one route differ by less than this unless an attempt is a later one. */
    private static final double RETURNED_MARGIN_MILLIS = 60;

    /** Callers that come too early for a configuration return after this time. */
    private static final long NO_CONFIGURATION_RETURN_MILLIS = 300;

    /** Callers of an upstream without replicas return after this time. */
    private static final long NO_REPLICA_RETURN_MILLIS = 500;

    /** Callers of content that crashes replicas are told to stay away for this time. */
    private static final long QUARANTINE_RETURN_MILLIS = 10_000;

    /** Attempts looked at in one pass; the rest would not find room either. */
    private static final int HELD_IN_A_PASS = 8;

    /** Sends of one attempt, those to replicas that could not be reached included. */
    private static final int MAXIMUM_SENDS = 6;

    /** A resend with less time left than this can't be answered in time. */
    private static final double LEAST_RESEND_MILLIS = 60;

    private final TimeSource mTime;
    private final EventLog mLog;
    private final RelayMetrics mMetrics;
    private final RelayDialect mDialect;
    private final UpstreamConnections mConnections;
    private final ReplicaSet mReplicas = new ReplicaSet();
    private final KeptParts mKept = new KeptParts();
    private final Placement mPlacement;
    private final Admission mAdmission;
    private final StallRule mStalls = new StallRule();
    private final FleetQuota mQuota = new FleetQuota();
    private final RetryBudget mBudget;
    private final Quarantine mQuarantine = new Quarantine();
    private final OutputLengths mLengths = new OutputLengths();
    private final WaitingCalls mWaiting = new WaitingCalls();
    private final Set<RelayCall> mActive = new LinkedHashSet<>();
    private final Map<CallerRequest, RelayCall> mByRequest = new HashMap<>();
    private final Map<String, Long> mLongestDeadline = new HashMap<>();
    private final SplittableRandom mRandom;
    private Consumer<QuarantineNotice> mNotices = notice -> {};
    private volatile RelayConfiguration mConfiguration;
    private long mHeldBytes;

    RelayService(
            final TimeSource time,
            final EventLog log,
            final RelayMetrics metrics,
            final RelayDialect dialect,
            final UpstreamConnections connections,
            final RetryBudget budget,
            final long seed) {
        mTime = time;
        mLog = log;
        mMetrics = metrics;
        mDialect = dialect;
        mConnections = connections;
        mBudget = budget;
        mRandom = new SplittableRandom(seed);
        mPlacement = new Placement(mKept, seed + 1);
        mAdmission = new Admission(seed + 2);
    }

    /** Sets who spreads evidence against contents that crash replicas. */
    void onNotices(final Consumer<QuarantineNotice> notices) {
        mNotices = notices;
    }

    long nowNanos() {
        return mTime.monotonicNanos();
    }

    UpstreamConnections connections() {
        return mConnections;
    }

    ReplicaSet replicas() {
        return mReplicas;
    }

    FleetQuota quota() {
        return mQuota;
    }

    Quarantine quarantine() {
        return mQuarantine;
    }

    int active() {
        return mActive.size();
    }

    int waiting() {
        return mWaiting.size();
    }

    long heldBytes() {
        return mHeldBytes;
    }

    CallerLimits limits() {
        final RelayConfiguration configuration = mConfiguration;
        return configuration == null ? CallerLimits.STANDARD : configuration.limits();
    }

    boolean isConfigured() {
        return mConfiguration != null;
    }

    @Override
    public void onConfiguration(final RelayConfiguration configuration) {
        mConfiguration = configuration;
        mQuota.configure(configuration.customers(), nowNanos());
    }

    @Override
    public void onReplicas(final Collection<ReplicaEntry> entries) {
        mReplicas.replace(entries);
        mWaiting.upstreams().forEach(this::place);
    }

    @Override
    public void onRequest(final CallerRequest request) {
        final RelayConfiguration configuration = mConfiguration;
        if (configuration == null) {
            refuse(
                    request,
                    HttpResponseStatus.SERVICE_UNAVAILABLE,
                    "no configuration is known",
                    NO_CONFIGURATION_RETURN_MILLIS);
            return;
        }
        final Optional<Route> found =
                configuration
                        .routes()
                        .find(
                                request.request().headers().get(HttpHeaderNames.HOST),
                                request.request().uri());
        if (found.isEmpty()) {
            refuse(request, HttpResponseStatus.NOT_FOUND, "no route matches", 0);
            return;
        }
        final Route route = found.get();
        RelayCustomer customer = null;
        if (configuration.needsKey(route)) {
            final Optional<RelayCustomer> holder = configuration.customerOf(request.head().key());
            if (holder.isEmpty()) {
                refuse(request, HttpResponseStatus.UNAUTHORIZED, "the key is unknown", 0);
                return;
            }
            customer = holder.get();
        }
        accept(request, configuration, route, customer);
    }

    @Override
    public void onCallerGone(final CallerRequest request) {
        final RelayCall call = mByRequest.get(request);
        if (call != null) {
            mWaiting.remove(call);
            call.onCallerGone();
        }
    }

    @Override
    public void onCallerWritable(final CallerRequest request, final boolean writable) {
        final RelayCall call = mByRequest.get(request);
        if (call != null) {
            call.onCallerWritable(writable);
        }
    }

    /** Places waiting attempts and ends those whose time is over. */
    void onTimer(final long nowNanos) {
        for (final RelayCall call : List.copyOf(mActive)) {
            if (call.millisLeft(nowNanos) <= DEADLINE_MARGIN_MILLIS) {
                onDeadline(call);
            } else {
                checkStall(call, nowNanos);
            }
        }
        mWaiting.upstreams().forEach(this::place);
    }

    /** Ends what is left when the process has to end. */
    void abortAll() {
        for (final RelayCall call : List.copyOf(mActive)) {
            mWaiting.remove(call);
            onFailed(call, HttpResponseStatus.SERVICE_UNAVAILABLE, "the daemon ends");
        }
    }

    /** Answers a request without sending it to a replica. */
    void answer(
            final CallerRequest request,
            final HttpResponseStatus status,
            final String reason,
            final long returnMillis) {
        final HttpHeaders headers = new DefaultHttpHeaders(false);
        headers.set(HttpHeaderNames.CONTENT_TYPE, "text/plain; charset=utf-8");
        if (returnMillis > 0) {
            headers.set(HttpHeaderNames.RETRY_AFTER, mDialect.retryAfter(returnMillis));
        }
        final ByteBuf body = Unpooled.copiedBuffer(reason + "\n", StandardCharsets.UTF_8);
        request.connection().answer(status, headers, body);
    }

    /** Builds the request for the chosen replica of an attempt. */
    FullHttpRequest upstreamRequest(final RelayCall call, final String resumeAfter) {
        final CallerRequest request = call.request();
        final ByteBuf body = request.body().duplicate();
        final FullHttpRequest copy =
                new DefaultFullHttpRequest(
                        HttpVersion.HTTP_1_1,
                        request.request().method(),
                        request.request().uri(),
                        body.readableBytes() == 0
                                ? Unpooled.EMPTY_BUFFER
                                : Unpooled.copiedBuffer(body),
                        EndToEnd.copy(request.request().headers()),
                        EmptyHttpHeaders.INSTANCE);
        final boolean sized =
                body.readableBytes() > 0
                        || request.request().headers().contains(HttpHeaderNames.CONTENT_LENGTH);
        copy.headers().remove(HttpHeaderNames.CONTENT_LENGTH);
        if (sized) {
            copy.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
        }
        final long left = (long) call.millisLeft(nowNanos()) - DEADLINE_TOLD_MARGIN_MILLIS;
        mDialect.writeRequest(
                copy.headers(),
                new DispatchHead(
                        Math.max(1, left),
                        call.replica().entry().id(),
                        call.customer() == null ? null : call.customer().name(),
                        resumeAfter));
        return copy;
    }

    /** Tells whether an attempt may be sent to another replica. */
    boolean mayResend(final RelayCall call, final boolean notRun) {
        return call.attempts() < call.route().maximumAttempts()
                && (notRun || call.route().repeat().isRepeatable())
                && call.millisLeft(nowNanos()) > LEAST_RESEND_MILLIS
                && hasOtherReplica(call)
                && mBudget.take(call.upstream());
    }

    /** Lets an attempt wait for another replica. */
    void resend(final RelayCall call, final String kind, final String reason) {
        mLog.event("request", "resent")
                .put("id", call.id())
                .put("kind", kind)
                .put("reason", reason)
                .put("replica", call.replica().entry().id())
                .put("sends", call.sends())
                .put("budget_left", Math.round(mBudget.left(call.upstream())))
                .write();
        mMetrics.onResend(call.upstream(), kind);
        mWaiting.add(call);
        place(call.upstream());
    }

    void onReplicaUnreachable(final RelayCall call, final String reason) {
        final Replica replica = call.replica();
        if (replica.health().onUnreachable(nowNanos())) {
            logEjected(replica, "unreachable: " + reason);
        }
    }

    void onReplicaFailed(final RelayCall call, final String reason) {
        final Replica replica = call.replica();
        if (replica.health().onFailure(nowNanos())) {
            logEjected(replica, reason);
        }
        suspect(replica, call);
    }

    void onReplicaError(final RelayCall call, final HttpResponseStatus status) {
        if (call.replica().health().onErrorAnswer(nowNanos())) {
            logEjected(call.replica(), "answers " + status.code());
        }
    }

    void onReplicaRefused(final RelayCall call, final HttpResponseStatus status) {
        if (status.code() == 421) {
            call.replica().health().onUnreachable(nowNanos());
            logEjected(call.replica(), "another replica has its address");
        } else if (call.replica().load(nowNanos()) < call.replica().entry().slots()) {
            onReplicaError(call, status);
        }
    }

    void onFirstEvent(final RelayCall call, final Choice choice, final double millis) {
        final long now = nowNanos();
        mKept.onRead(call.work(), call.replica(), now);
        mMetrics.onFirst(call.upstream(), call.rank(), now - call.request().arrivedNanos());
        if (choice.waitMillis() <= 0 && choice.prefillTokens() >= StallRule.LONG_PROMPT_TOKENS) {
            call.replica().onPrefillTime(millis * 1_000.0 / choice.prefillTokens());
        }
    }

    void onSucceeded(
            final RelayCall call,
            final HttpResponseStatus status,
            final int events,
            final double streamMillis) {
        final Replica replica = call.replica();
        replica.health().onSuccess();
        final int perEvent = tokensPerEvent(call.upstream());
        if (events > 2) {
            replica.onTokenTime(streamMillis / (events - 1) / perEvent);
            mLengths.onAnswered(call.route().name(), events * perEvent);
        }
        if (!mQuarantine.isEmpty()) {
            mQuarantine
                    .onCompleted(fingerprint(call), replica.entry().id(), true, nowNanos())
                    .forEach(mNotices);
        }
        final long now = nowNanos();
        mMetrics.onComplete(call.upstream(), call.rank(), now - call.request().arrivedNanos());
        mMetrics.onEnded(call.upstream(), call.rank(), "answered");
        mLog.routine("request", "answered")
                .put("id", call.id())
                .put("status", status.code())
                .put("replica", replica.entry().id())
                .put("sends", call.sends())
                .put("events", events)
                .put("ms", Math.round(call.waitedMillis(now)))
                .write();
    }

    void onCancelled(final RelayCall call) {
        mMetrics.onEnded(call.upstream(), call.rank(), "cancelled");
        mLog.routine("request", "cancelled")
                .put("id", call.id())
                .put("phase", call.phase().name())
                .put("replica", call.replica() == null ? null : call.replica().entry().id())
                .put("ms", Math.round(call.waitedMillis(nowNanos())))
                .write();
    }

    /** Ends an attempt that can't be served. */
    void onFailed(final RelayCall call, final HttpResponseStatus failure, final String reason) {
        final HttpResponseStatus status =
                call.mayHaveRun() && failure.code() == 503
                        ? HttpResponseStatus.BAD_GATEWAY
                        : failure;
        final long now = nowNanos();
        final long returnMillis =
                status.code() == 503
                        ? mAdmission.returnMillis(0, Math.max(1, call.millisLeft(now)))
                        : 0;
        mMetrics.onEnded(call.upstream(), call.rank(), "failed");
        mLog.event("request", "failed")
                .put("id", call.id())
                .put("route", call.route().name())
                .put("status", status.code())
                .put("reason", reason)
                .put("phase", call.phase().name())
                .put("replica", call.replica() == null ? null : call.replica().entry().id())
                .put("sends", call.sends())
                .put("may_have_run", call.mayHaveRun())
                .put("ms", Math.round(call.waitedMillis(now)))
                .write();
        call.fail(status, reason, returnMillis);
    }

    void onDone(final RelayCall call) {
        mActive.remove(call);
        mByRequest.remove(call.request());
        mHeldBytes -= call.request().body().readableBytes();
        if (!mWaiting.isEmpty(call.upstream())) {
            place(call.upstream());
        }
    }

    private void accept(
            final CallerRequest request,
            final RelayConfiguration configuration,
            final Route route,
            final RelayCustomer customer) {
        final long now = nowNanos();
        final long units = customer == null ? 0 : customer.units(request.head().quotaTokens());
        if (customer != null && !mQuota.use(customer, units, now)) {
            refuse(
                    request,
                    HttpResponseStatus.TOO_MANY_REQUESTS,
                    "the quota of " + customer.name() + " is used up",
                    Math.max(
                            NO_CONFIGURATION_RETURN_MILLIS, mQuota.millisUntilAvailable(customer)));
            return;
        }
        final RelayCall call = newCall(request, configuration, route, customer, units);
        if (isQuarantined(call, now)) {
            refuse(
                    request,
                    HttpResponseStatus.SERVICE_UNAVAILABLE,
                    "requests of this content crashed replicas",
                    QUARANTINE_RETURN_MILLIS);
            return;
        }
        mActive.add(call);
        mByRequest.put(request, call);
        mHeldBytes += request.body().readableBytes();
        mBudget.onRequest(call.upstream());
        mWaiting.add(call);
        place(call.upstream());
    }

    private RelayCall newCall(
            final CallerRequest request,
            final RelayConfiguration configuration,
            final Route route,
            final RelayCustomer customer,
            final long units) {
        final String upstream = route.pickUpstream(mRandom.nextDouble());
        final long deadline = request.head().deadlineMillis();
        double waitedBefore = 0;
        if (deadline > 0) {
            // A caller that returns has less time than callers of this route have at first.
            final long longest = mLongestDeadline.merge(route.name(), deadline, Math::max);
            waitedBefore = longest - deadline > RETURNED_MARGIN_MILLIS ? longest - deadline : 0;
        }
        final long millis =
                deadline > 0 ? Math.min(deadline, route.timeoutMillis()) : route.timeoutMillis();
        final WorkSize work =
                configuration.upstream(upstream).flatMap(pool -> pool.engine()).isPresent()
                        ? workOf(route, request.head())
                        : WorkSize.PLAIN;
        return new RelayCall(
                request,
                route,
                upstream,
                customer,
                units,
                work,
                waitedBefore,
                request.arrivedNanos() + TimeUnit.MILLISECONDS.toNanos(millis),
                this);
    }

    private WorkSize workOf(final Route route, final CallerHead head) {
        return new WorkSize(
                Math.max(0, head.promptTokens()),
                mLengths.estimate(route.name(), head),
                head.parts());
    }

    private void place(final String upstream) {
        final List<RelayCall> calls = mWaiting.inOrder(upstream, nowNanos());
        int held = 0;
        for (int i = 0; i < calls.size() && held < HELD_IN_A_PASS; i++) {
            final RelayCall call = calls.get(i);
            if (call.phase() == RelayCall.Phase.WAITING && !place(call, i)) {
                held++;
            }
        }
    }

    /** Sends or refuses an attempt, or returns false if it goes on waiting. */
    private boolean place(final RelayCall call, final int ahead) {
        final long now = nowNanos();
        final List<Replica> replicas = mReplicas.of(call.upstream());
        final Set<String> excluded = excluded(call, now);
        final Optional<Choice> chosen =
                mPlacement.choose(call.work(), replicas, excluded, call.millisLeft(now), now);
        if (chosen.isEmpty()) {
            return onNoReplica(call, now);
        }
        final Choice choice = chosen.get();
        final double queueMillis = ahead * meanServiceMillis(replicas);
        final Admission.Decision decision =
                mAdmission.decide(
                        call.applicant(now),
                        choice.firstMillis(),
                        choice.waitMillis(),
                        queueMillis);
        switch (decision.kind()) {
            case SEND:
                mWaiting.remove(call);
                send(call, choice, now);
                return true;
            case REFUSE:
                if (call.sends() > 0 || call.hasStarted()) {
                    return false;
                }
                mWaiting.remove(call);
                refuseOverloaded(call, choice, queueMillis, decision.returnMillis());
                return true;
            default:
                return false;
        }
    }

    private void send(final RelayCall call, final Choice choice, final long now) {
        mMetrics.onSent(call.upstream(), call.rank(), now - call.request().arrivedNanos());
        mLog.routine("request", "sent")
                .put("id", call.id())
                .put("route", call.route().name())
                .put("replica", choice.replica().entry().id())
                .put("load", Math.round(choice.load()))
                .put("candidates", mReplicas.of(call.upstream()).size())
                .put("first_ms", Math.round(choice.firstMillis()))
                .put("prefill", choice.prefillTokens())
                .put("queued_ms", Math.round(call.waitedMillis(now)))
                .put("left_ms", Math.round(call.millisLeft(now)))
                .write();
        if (!mQuarantine.isEmpty()) {
            mQuarantine.onDispatched(fingerprint(call), choice.replica().entry().id());
        }
        call.send(choice);
    }

    private boolean onNoReplica(final RelayCall call, final long now) {
        if (call.mayHaveRun() || call.hasStarted()) {
            mWaiting.remove(call);
            onFailed(call, HttpResponseStatus.BAD_GATEWAY, "no other replica is left");
            return true;
        }
        // An outage of all replicas may be short, but callers are better off elsewhere after it.
        if (call.objectiveLeft(now) > 0 && call.sends() < MAXIMUM_SENDS) {
            call.excluded().clear();
            return false;
        }
        mWaiting.remove(call);
        final long returnMillis =
                Math.min(NO_REPLICA_RETURN_MILLIS, (long) (call.millisLeft(now) / 4));
        logRefusal(call, "no replica can be used", returnMillis);
        mQuota.giveBack(customerName(call), call.units());
        call.fail(HttpResponseStatus.SERVICE_UNAVAILABLE, "no replica can be used", returnMillis);
        return true;
    }

    private void refuseOverloaded(
            final RelayCall call,
            final Choice choice,
            final double queueMillis,
            final long returnMillis) {
        mMetrics.onEnded(call.upstream(), call.rank(), "refused");
        mLog.event("request", "refused")
                .put("id", call.id())
                .put("route", call.route().name())
                .put("status", 503)
                .put("reason", "all replicas are busy")
                .put("best", choice.replica().entry().id())
                .put("load", Math.round(choice.load()))
                .put("wait_ms", Math.round(choice.waitMillis()))
                .put("queue_ms", Math.round(queueMillis))
                .put("return_ms", returnMillis)
                .write();
        mQuota.giveBack(customerName(call), call.units());
        call.fail(HttpResponseStatus.SERVICE_UNAVAILABLE, "all replicas are busy", returnMillis);
    }

    private void logRefusal(final RelayCall call, final String reason, final long returnMillis) {
        mMetrics.onEnded(call.upstream(), call.rank(), "refused");
        mLog.event("request", "refused")
                .put("id", call.id())
                .put("route", call.route().name())
                .put("status", 503)
                .put("reason", reason)
                .put("return_ms", returnMillis)
                .write();
    }

    private void refuse(
            final CallerRequest request,
            final HttpResponseStatus status,
            final String reason,
            final long returnMillis) {
        mLog.event("request", "refused")
                .put("id", request.head().attemptId())
                .put("status", status.code())
                .put("reason", reason)
                .put("version", mConfiguration == null ? 0 : mConfiguration.version())
                .put("return_ms", returnMillis)
                .write();
        answer(request, status, reason, returnMillis);
    }

    private void onDeadline(final RelayCall call) {
        mWaiting.remove(call);
        final boolean sent = call.phase() != RelayCall.Phase.WAITING || call.mayHaveRun();
        onFailed(
                call,
                sent ? HttpResponseStatus.GATEWAY_TIMEOUT : HttpResponseStatus.SERVICE_UNAVAILABLE,
                "the time is over");
    }

    private void checkStall(final RelayCall call, final long now) {
        final RelayCall.Phase phase = call.phase();
        if (phase != RelayCall.Phase.SENT && phase != RelayCall.Phase.STREAMING) {
            return;
        }
        final double silent = call.silentMillis(now);
        final double limit = mStalls.limitMillis(call.route(), call.choice(), call.hasEvents());
        if (silent < limit || !call.noteStall()) {
            return;
        }
        final Replica replica = call.replica();
        if (replica.health().onFailure(now)) {
            logEjected(replica, "silent for " + Math.round(silent) + " ms");
        }
        if (call.route().repeat().isRepeatable() && mayResend(call, false)) {
            call.abandonReplica();
            resend(call, "stalled", "silent for " + Math.round(silent) + " ms");
        }
    }

    private boolean hasOtherReplica(final RelayCall call) {
        final Set<String> used = new HashSet<>(call.excluded());
        used.add(call.replica().entry().id());
        return mReplicas.of(call.upstream()).stream()
                .anyMatch(r -> !r.entry().draining() && !used.contains(r.entry().id()));
    }

    private Set<String> excluded(final RelayCall call, final long now) {
        if (mQuarantine.isEmpty()) {
            return call.excluded();
        }
        final QuarantineDecision decision = mQuarantine.decision(fingerprint(call), now);
        final Set<String> excluded = new HashSet<>(call.excluded());
        excluded.addAll(decision.excludedReplicas());
        return excluded;
    }

    private boolean isQuarantined(final RelayCall call, final long now) {
        return !mQuarantine.isEmpty()
                && mQuarantine.decision(fingerprint(call), now).kind()
                        == QuarantineDecision.Kind.QUARANTINED;
    }

    /** Requests that ran on a replica whose connections broke together are suspects. */
    private void suspect(final Replica replica, final RelayCall failed) {
        final long now = nowNanos();
        if (replica.health().failureRate() < StallRule.CRASH_RATE) {
            return;
        }
        final List<Fingerprint> running = new ArrayList<>();
        running.add(fingerprint(failed));
        mQuarantine.onCrash(replica.entry().id(), running, now).forEach(mNotices);
    }

    private Fingerprint fingerprint(final RelayCall call) {
        final String content =
                call.request().request().uri()
                        + '\n'
                        + customerName(call)
                        + '\n'
                        + call.work().sessionHash();
        final byte[] head = content.getBytes(StandardCharsets.UTF_8);
        final byte[] body = ByteBufUtil.getBytes(call.request().body());
        final byte[] all = new byte[head.length + body.length];
        System.arraycopy(head, 0, all, 0, head.length);
        System.arraycopy(body, 0, all, head.length, body.length);
        return Fingerprint.of(call.upstream(), all);
    }

    private static String customerName(final RelayCall call) {
        return call.customer() == null ? "" : call.customer().name();
    }

    private double meanServiceMillis(final List<Replica> replicas) {
        double perSecond = 0;
        for (final Replica replica : replicas) {
            perSecond += replica.entry().slots() / replica.serviceMillis(1_000.0);
        }
        return perSecond <= 0 ? 0 : 1.0 / perSecond;
    }

    private int tokensPerEvent(final String upstream) {
        final RelayConfiguration configuration = mConfiguration;
        return configuration == null
                ? 1
                : configuration
                        .upstream(upstream)
                        .flatMap(pool -> pool.engine())
                        .map(EngineProfile::tokensPerEvent)
                        .orElse(1);
    }

    private void logEjected(final Replica replica, final String reason) {
        mLog.event("replica", "avoided")
                .put("replica", replica.entry().id())
                .put("reason", reason)
                .put("failure_percent", Math.round(replica.health().failureRate() * 100))
                .put("own_in_flight", replica.ownInFlight())
                .write();
    }
}
