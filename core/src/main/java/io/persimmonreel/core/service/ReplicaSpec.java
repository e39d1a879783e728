package io.persimmonreel.core.service;

/**
 * Describes a replica of an upstream as the operator text defines it.
 *
 * @param id the replica's id, unique in the operator text
 * @param address the address as {@code ip:port}
 * @param zone the availability zone
 * @param generation the hardware generation
 * @param concurrency the maximum number of requests that it runs at the same time, at least 1
 */
public record ReplicaSpec(
        String id, String address, String zone, String generation, int concurrency) {}
