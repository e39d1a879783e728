package io.persimmonreel.daemon.request;

import io.persimmonreel.core.config.Configuration;
import io.persimmonreel.core.request.Problem;
import io.persimmonreel.core.request.ProblemType;
import io.persimmonreel.core.request.Step;
import io.persimmonreel.core.service.ReplicaSpec;
import io.persimmonreel.core.service.UpstreamKind;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Controls each request from its submission by the caller to its answer or failure.
 *
 * <p>A request of a non-idempotent service is claimed before it is queued. The scheduler decides
 * when and where a request is dispatched; one thread executes its directives in order. A
 * compare-and-set of the state, after the connection is open and before the first byte, decides
 * whether a request is dispatched or refused. Instances are thread safe.
 */
public final class RequestCoordinator implements AutoCloseable {
    /**
     * The Retry-After time of a daemon that shuts down; another daemon can take the retry at once.
     */
    private static final long SHUTDOWN_RETRY_MILLIS = 100;

    private final RequestComponents mComponents;
    private final Map<String, ActiveRequest> mActiveRequests = new ConcurrentHashMap<>();
    private final ReplicaDirectory mReplicas = new ReplicaDirectory();
    private final CompletableFuture<Void> mDrained = new CompletableFuture<>();
    private final RequestFinisher mFinisher;
    private final EngineDispatcher mEngineDispatcher;
    private final DirectiveExecutor mDirectiveExecutor;
    private final PollLoop mPollLoop;
    private volatile boolean mDraining;
    private volatile boolean mListedLeaving;

    /**
     * Creates a coordinator; {@link #start} starts it.
     *
     * @param components the components of the request path
     */
    public RequestCoordinator(final RequestComponents components) {
        mComponents = components;
        mFinisher = new RequestFinisher(components, this::remove);
        final CrashDetector crashDetector =
                new CrashDetector(components, this::inFlightFingerprints);
        final DispatchCheck dispatchCheck = new DispatchCheck(components, mFinisher, crashDetector);
        mEngineDispatcher =
                new EngineDispatcher(
                        components,
                        mFinisher,
                        dispatchCheck,
                        crashDetector,
                        mActiveRequests::values);
        final PlainDispatcher plainDispatcher =
                new PlainDispatcher(components, mFinisher, dispatchCheck, crashDetector);
        final StallDetector stallDetector =
                new StallDetector(
                        mFinisher, mEngineDispatcher, mReplicas::find, mActiveRequests::values);
        mDirectiveExecutor =
                new DirectiveExecutor(
                        components,
                        mFinisher,
                        mEngineDispatcher,
                        plainDispatcher,
                        mReplicas::find,
                        mActiveRequests::get,
                        stallDetector);
        mPollLoop = new PollLoop(mDirectiveExecutor::run, mActiveRequests::isEmpty);
    }

    /** Starts polling the scheduler. */
    public void start() {
        mPollLoop.start();
    }

    /**
     * Applies an accepted configuration.
     *
     * @param configuration the configuration
     */
    public void configure(final Configuration configuration) {
        mReplicas.configure(configuration);
        mComponents.scheduler().configure(configuration, mComponents.time().monotonicNanos());
        mPollLoop.wake();
    }

    /** Wakes the poll loop to poll the scheduler, after an event that may change its decisions. */
    public void wake() {
        mPollLoop.wake();
    }

    /**
     * Accepts a request.
     *
     * @param submission the request
     * @param sink receives the tokens and the result
     */
    public void submit(final Submission submission, final AnswerSink sink) {
        final ActiveRequest request = new ActiveRequest(submission, sink);
        mActiveRequests.put(request.id(), request);
        mFinisher.recordDecision(
                request,
                Step.RECEIVE,
                "received",
                submission.service().id(),
                "customer " + submission.customer() + ", tier " + submission.tier().label());
        if (isDraining()) {
            refuseForShutdown(request);
        } else if (!submission.needsClaim()) {
            enqueue(request, RequestState.RECEIVED);
        } else if (request.transition(RequestState.RECEIVED, RequestState.CLAIMING)) {
            mComponents
                    .claims()
                    .begin(
                            request.id(),
                            submission.identity(),
                            submission.contentDigest(),
                            submission.deadlineNanos(),
                            new ClaimResultListener(request));
        }
    }

    /**
     * Cancels a request whose caller disconnected. A dispatched request continues if it holds a
     * claim, since the caller may ask for its outcome with a repeat, or if it runs at a plain
     * service, which cannot stop it.
     *
     * @param requestId the request's id
     */
    public void cancel(final String requestId) {
        final ActiveRequest request = mActiveRequests.get(requestId);
        if (request == null) {
            return;
        }
        request.setCallerDisconnected();
        final String detail = "the caller went away";
        if (!mFinisher.refuse(request, ProblemType.BAD_REQUEST, detail, 0, Step.RECEIVE)
                && request.submission().input().isPresent()
                && !request.submission().needsClaim()) {
            mDirectiveExecutor.cancelDispatched(request, detail);
        }
        mPollLoop.wake();
    }

    /**
     * Refuses new requests and those not yet dispatched, and lets the others finish.
     *
     * @return a future that completes when no request is in progress
     */
    public CompletableFuture<Void> drain() {
        mDraining = true;
        for (final ActiveRequest request : List.copyOf(mActiveRequests.values())) {
            refuseForShutdown(request);
        }
        if (mActiveRequests.isEmpty()) {
            mDrained.complete(null);
        }
        return mDrained;
    }

    /**
     * Sets whether the host list shows this daemon as leaving. While it does, new requests are
     * refused as not run; requests accepted before continue.
     *
     * @param leaving whether the daemon is listed as leaving
     */
    public void setListedLeaving(final boolean leaving) {
        mListedLeaving = leaving;
    }

    /**
     * Tells whether new requests are refused.
     *
     * @return true after {@link #drain} and while the daemon is listed as leaving
     */
    public boolean isDraining() {
        return mDraining || mListedLeaving;
    }

    /**
     * Returns the number of requests in progress, whether dispatched or waiting.
     *
     * @return the number of requests
     */
    public int inProgress() {
        return mActiveRequests.size();
    }

    /**
     * Returns a request in progress, whose tier and deadline are inherited by requests to its
     * dependencies.
     *
     * @param requestId the id of the parent request
     * @return the parent request, or empty if it is not in progress on this daemon
     */
    public Optional<Submission> findSubmission(final String requestId) {
        return Optional.ofNullable(mActiveRequests.get(requestId)).map(ActiveRequest::submission);
    }

    @Override
    public void close() {
        mPollLoop.close();
    }

    private void enqueue(final ActiveRequest request, final RequestState from) {
        final Submission submission = request.submission();
        final long now = mComponents.time().monotonicNanos();
        final QuarantineGateway.Verdict verdict =
                mComponents
                        .quarantine()
                        .check(
                                submission.service().id(),
                                submission.body(),
                                submission.similarityContent(),
                                now);
        request.setVerdict(verdict);
        if (verdict.quarantined()) {
            mFinisher.refuse(
                    request,
                    ProblemType.QUARANTINED,
                    "requests with this content crashed two replicas",
                    0,
                    Step.QUARANTINE);
            return;
        }
        if (!request.transition(from, RequestState.QUEUED)) {
            return;
        }
        mComponents.scheduler().offer(request.toPendingRequest(), now);
        // A refusal between the transition and the offer cancelled a request that the scheduler did
        // not know yet, so cancel again.
        if (request.state() == RequestState.REFUSED) {
            mComponents.scheduler().cancel(request.id(), now);
        }
        mPollLoop.wake();
    }

    private void refuseForShutdown(final ActiveRequest request) {
        mFinisher.refuse(
                request,
                ProblemType.SHUTTING_DOWN,
                "the daemon leaves the fleet",
                SHUTDOWN_RETRY_MILLIS,
                Step.ADMIT);
    }

    private void remove(final ActiveRequest request) {
        mActiveRequests.remove(request.id());
        if (mDraining && mActiveRequests.isEmpty()) {
            mDrained.complete(null);
        }
        mPollLoop.wake();
    }

    private List<String> inFlightFingerprints(final String replica) {
        final List<String> fingerprints = new ArrayList<>();
        for (final ActiveRequest request : mActiveRequests.values()) {
            if (request.isInFlight()
                    && request.replica().equals(replica)
                    && request.verdict() != null) {
                fingerprints.add(request.verdict().fingerprint());
            }
        }
        return fingerprints;
    }

    /** Receives the result of one claim attempt. */
    private final class ClaimResultListener implements ClaimGateway.Listener {
        private final ActiveRequest mRequest;

        ClaimResultListener(final ActiveRequest request) {
            mRequest = request;
        }

        @Override
        public void onClaimed(final long attempt) {
            mRequest.setClaimAttempt(attempt);
            mFinisher.recordDecision(mRequest, Step.CLAIM, "claimed", "", "enough members granted");
            if (mRequest.state() == RequestState.CLAIMING) {
                enqueue(mRequest, RequestState.CLAIMING);
            }
            if (mRequest.state() == RequestState.REFUSED) {
                mComponents.claims().renounce(attempt);
            }
        }

        @Override
        public void onRefused(final Problem problem) {
            mFinisher.refuseClaim(mRequest, problem);
        }

        @Override
        public void onEarlierAnswer(final int status, final String contentType, final byte[] body) {
            mFinisher.replay(mRequest, new Answer(status, contentType, body, -1, ""));
        }
    }

    /** Finds replicas by id. */
    @FunctionalInterface
    interface ReplicaFinder {
        /**
         * Finds a replica.
         *
         * @param id the replica's id
         * @return the replica, or empty if it is not known
         */
        Optional<ReplicaSpec> find(String id);
    }

    /**
     * Tells whether a request runs at an engine.
     *
     * @param request the request
     * @return true for engines, false for plain services
     */
    static boolean isEngine(final ActiveRequest request) {
        return request.submission().upstream().kind() == UpstreamKind.ENGINE;
    }
}
