package io.persimmonreel.core.schedule;

/** States whether a replica may receive requests. */
public enum ReplicaAvailability {
    /** Accepts new requests. */
    LIVE,
    /** Finishes its requests and accepts no new ones. */
    LEAVING,
    /** Is not reachable. */
    DOWN
}
