package io.persimmonreel.daemon.request;

import java.util.List;
import java.util.Set;

/**
 * Gives the request path access to the quarantine, which blocks requests whose content crashed
 * replicas. Implementations are thread safe.
 */
public interface QuarantineGateway {
    /**
     * Holds the decision on the content of a request.
     *
     * @param fingerprint the fingerprint that identifies the content in later calls
     * @param quarantined whether the request must be refused
     * @param isolated whether the request must not share a replica with another suspect
     * @param excludedReplicas the replicas that must not run the request: those that crashed with
     *     this content and those that run other suspects
     */
    record Verdict(
            String fingerprint,
            boolean quarantined,
            boolean isolated,
            Set<String> excludedReplicas) {
        /** Copies the set of replicas. */
        public Verdict {
            excludedReplicas = Set.copyOf(excludedReplicas);
        }
    }

    /**
     * Checks the content of a request before the request is queued.
     *
     * @param service the service's id
     * @param body the request body
     * @param similarityContent the content by which requests are compared for similarity
     * @param nowNanos the present monotonic time
     * @return the verdict
     */
    Verdict check(String service, byte[] body, byte[] similarityContent, long nowNanos);

    /**
     * Reports that a replica crashed.
     *
     * @param replica the replica's id
     * @param fingerprints the fingerprints of the contents that ran on it
     * @param nowNanos the present monotonic time
     */
    void onCrash(String replica, List<String> fingerprints, long nowNanos);

    /**
     * Reports that a request was dispatched, so that other suspects avoid its replica.
     *
     * @param fingerprint the fingerprint of its content
     * @param replica the replica that runs it
     */
    void onDispatched(String fingerprint, String replica);

    /**
     * Reports that a request ended without a crash of its replica.
     *
     * @param fingerprint the fingerprint of its content
     * @param replica the replica that ran it
     * @param succeeded whether the complete answer arrived
     * @param nowNanos the present monotonic time
     */
    void onCompleted(String fingerprint, String replica, boolean succeeded, long nowNanos);
}
