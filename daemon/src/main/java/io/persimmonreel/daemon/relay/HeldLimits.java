package io.persimmonreel.daemon.relay;

/**
 * Bounds the requests that wait in a daemon for a replica. The bodies of all requests, those that
 * run included, are bounded apart from that by {@link RelayServer}.
 *
 * @param requests the maximum number of requests, at least 1
 * @param bodyBytes the maximum size of their bodies in bytes, at least 1
 */
public record HeldLimits(int requests, long bodyBytes) {
    /**
     * Waiting requests may take a tenth of the heap by default, so that the other half of the
     * memory for bodies is left to requests that run.
     */
    private static final int BODY_MEMORY_DIVISOR = 10;

    private static final int STANDARD_REQUESTS = 1_000;

    /** The limits of settings that state none. */
    public static final HeldLimits STANDARD =
            new HeldLimits(
                    STANDARD_REQUESTS, Runtime.getRuntime().maxMemory() / BODY_MEMORY_DIVISOR);

    /**
     * Checks the limits.
     *
     * @throws IllegalArgumentException if a limit is not positive
     */
    public HeldLimits {
        if (requests < 1 || bodyBytes < 1) {
            throw new IllegalArgumentException(
                    "limits must be positive: " + requests + ", " + bodyBytes);
        }
    }
}
