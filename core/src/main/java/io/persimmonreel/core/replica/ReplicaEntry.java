package io.persimmonreel.core.replica;

/**
 * Contains the attributes that a replica announces.
 *
 * @param id the id of the replica
 * @param upstream the upstream that it belongs to
 * @param host its IP address
 * @param port its port
 * @param zone its availability zone
 * @param slots the requests that it runs at the same time, at least 1
 * @param draining whether it accepts no new requests
 * @param startedMillis when it started, milliseconds since the Unix epoch, 0 if unknown
 * @param warmUpLeftMillis how long it stays cold from the time at which it announced this, in
 *     milliseconds, 0 if it is warm
 * @param version the version of its software, empty if it announces none
 */
public record ReplicaEntry(
        String id,
        String upstream,
        String host,
        int port,
        String zone,
        int slots,
        boolean draining,
        long startedMillis,
        double warmUpLeftMillis,
        String version) {
    /**
     * Creates the entry of a warm replica.
     *
     * @param id the id of the replica
     * @param upstream the upstream that it belongs to
     * @param host its IP address
     * @param port its port
     * @param zone its availability zone
     * @param slots the requests that it runs at the same time, at least 1
     * @param draining whether it accepts no new requests
     * @param startedMillis when it started, milliseconds since the Unix epoch, 0 if unknown
     */
    public ReplicaEntry(
            final String id,
            final String upstream,
            final String host,
            final int port,
            final String zone,
            final int slots,
            final boolean draining,
            final long startedMillis) {
        this(id, upstream, host, port, zone, slots, draining, startedMillis, 0, "");
    }

    /**
     * Returns this entry as that of a replica that accepts no new requests.
     *
     * @return the same attributes, draining
     */
    public ReplicaEntry asDraining() {
        return new ReplicaEntry(
                id,
                upstream,
                host,
                port,
                zone,
                slots,
                true,
                startedMillis,
                warmUpLeftMillis,
                version);
    }

    /**
     * Returns the address of the replica.
     *
     * @return the address as {@code host:port}
     */
    public String address() {
        return host + ":" + port;
    }
}
