package io.persimmonreel.core.grant;

/**
 * Holds a slot for a request until its release or until it was not renewed for a time.
 *
 * @param origin the address of the daemon that has the request
 * @param replica the replica's id
 * @param arrivalNanos when the request arrives at the replica
 * @param grantedNanos when the slot was granted, or when its use was learned
 * @param renewedNanos when the granter last heard of it
 * @param early whether the slot was granted before the release of the request that had it
 * @param granted whether this granter granted it; otherwise arrival and rank are not known
 * @param rank the priority rank of the request, 0 is the highest
 */
record Lease(
        String origin,
        String replica,
        long arrivalNanos,
        long grantedNanos,
        long renewedNanos,
        boolean early,
        boolean granted,
        int rank) {
    Lease renewed(final long nowNanos) {
        return new Lease(
                origin, replica, arrivalNanos, grantedNanos, nowNanos, early, granted, rank);
    }
}
