package io.persimmonreel.core.replica;

/**
 * Describes a replica as it announces itself.
 *
 * @param id the id of the replica
 * @param upstream the upstream that it belongs to
 * @param host the IP address
 * @param port the port
 * @param zone the availability zone
 * @param slots the requests that it runs at one time, at least 1
 * @param draining whether it takes no new work
 * @param startedMillis when it started, milliseconds since the Unix epoch, 0 if unknown
 */
public record ReplicaEntry(
        String id,
        String upstream,
        String host,
        int port,
        String zone,
        int slots,
        boolean draining,
        long startedMillis) {
    /**
     * Returns the address.
     *
     * @return host and port
     */
    public String address() {
        return host + ":" + port;
    }
}
