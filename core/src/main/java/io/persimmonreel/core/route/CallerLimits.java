package io.persimmonreel.core.route;

/**
 * Bounds what a caller may send and how long it may take.
 *
 * @param headerBytes the most bytes of a request's head
 * @param bodyBytes the most bytes of a request's body
 * @param headerMillis the longest time in milliseconds for a request's head
 * @param idleMillis the longest time in milliseconds between two requests on a connection
 */
public record CallerLimits(int headerBytes, long bodyBytes, long headerMillis, long idleMillis) {
    /** Holds until a configuration is known. */
    public static final CallerLimits STANDARD =
            new CallerLimits(16 * 1024, 4L * 1024 * 1024, 3_000, 15_000);
}
