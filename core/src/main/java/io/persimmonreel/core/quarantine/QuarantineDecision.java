package io.persimmonreel.core.quarantine;

import java.util.Set;

/**
 * States whether and where a request may run.
 *
 * @param kind whether the request may run, and under which restriction
 * @param excludedReplicas the ids of the replicas on which an isolated request must not run
 */
public record QuarantineDecision(Kind kind, Set<String> excludedReplicas) {
    /** Distinguishes the decisions. */
    public enum Kind {
        /** The request may run anywhere. */
        NORMAL,
        /** The content is suspected; the request may run only where no other suspect runs. */
        ISOLATED,
        /** The request is refused because of its content. */
        QUARANTINED
    }

    /** Copies the set of replicas. */
    public QuarantineDecision {
        excludedReplicas = Set.copyOf(excludedReplicas);
    }
}
