package io.persimmonreel.daemon.request;

import io.persimmonreel.core.claim.ClaimListener;
import io.persimmonreel.core.claim.ClaimManager;
import io.persimmonreel.core.request.Outcome;
import io.persimmonreel.core.request.Problem;
import io.persimmonreel.core.request.RequestIdentity;

/** Obtains claims from the members of the fleet through a {@link ClaimManager}. */
public final class FleetClaimGateway implements ClaimGateway {
    private final ClaimManager mManager;

    /**
     * Creates a gateway.
     *
     * @param manager the claim manager of this daemon
     */
    public FleetClaimGateway(final ClaimManager manager) {
        mManager = manager;
    }

    @Override
    public void begin(
            final String requestId,
            final RequestIdentity identity,
            final String contentDigest,
            final long deadlineNanos,
            final Listener listener) {
        mManager.begin(
                requestId,
                identity,
                contentDigest,
                deadlineNanos,
                new ClaimListener() {
                    @Override
                    public void onClaimed(final long attempt) {
                        listener.onClaimed(attempt);
                    }

                    @Override
                    public void onRefused(final Problem problem) {
                        listener.onRefused(problem);
                    }

                    @Override
                    public void onStoredAnswer(
                            final int status, final String contentType, final byte[] body) {
                        listener.onEarlierAnswer(status, contentType, body);
                    }
                });
    }

    @Override
    public boolean markDispatched(final long attempt) {
        return mManager.markDispatched(attempt);
    }

    @Override
    public boolean renounce(final long attempt) {
        return mManager.renounce(attempt);
    }

    @Override
    public void finish(
            final long attempt,
            final Outcome outcome,
            final int status,
            final String contentType,
            final byte[] body) {
        mManager.finish(attempt, outcome, status, contentType, body);
    }
}
