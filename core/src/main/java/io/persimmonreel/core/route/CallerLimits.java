package io.persimmonreel.core.route;

/**
 * Limits what callers may send and how long they may take to send it.
 *
 * @param headerBytes the maximum size of a request's start line and headers in bytes
 * @param bodyBytes the maximum size of a request's body in bytes
 * @param headerMillis the maximum time to receive a request's start line and headers in
 *     milliseconds
 * @param idleMillis the maximum time between two requests on a connection in milliseconds
 */
public record CallerLimits(int headerBytes, long bodyBytes, long headerMillis, long idleMillis) {
    /** The limits that apply until a configuration is known. */
    public static final CallerLimits STANDARD =
            new CallerLimits(16 * 1024, 4L * 1024 * 1024, 3_000, 15_000);
}
