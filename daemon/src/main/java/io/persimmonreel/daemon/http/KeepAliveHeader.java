package io.persimmonreel.daemon.http;

import io.netty.handler.codec.http.HttpHeaders;
import java.time.Duration;

/** Reads from the Keep-Alive response header how long a connection to a replica may stay idle. */
public final class KeepAliveHeader {
    private static final String HEADER = "Keep-Alive";
    private static final String TIMEOUT = "timeout=";

    /**
     * The limit for replicas without a Keep-Alive header, which close idle connections after
     * unknown times.
     */
    private static final Duration DEFAULT_IDLE_LIMIT = Duration.ofMillis(2_500);

    /**
     * The share of the announced timeout after which a connection is no longer used, so that the
     * replica does not close it first.
     */
    private static final double IDLE_LIMIT_SHARE = 0.7;

    private KeepAliveHeader() {}

    /**
     * Returns how long a connection may stay idle after a response.
     *
     * @param headers the header fields of the response
     * @return the time in nanoseconds
     */
    public static long idleLimitNanos(final HttpHeaders headers) {
        final String value = headers.get(HEADER);
        final int start = value == null ? -1 : value.indexOf(TIMEOUT);
        if (start < 0) {
            return DEFAULT_IDLE_LIMIT.toNanos();
        }
        int end = start + TIMEOUT.length();
        long seconds = 0;
        while (end < value.length() && Character.isDigit(value.charAt(end)) && seconds < 3_600) {
            seconds = seconds * 10 + value.charAt(end) - '0';
            end++;
        }
        return (long) (Duration.ofSeconds(seconds).toNanos() * IDLE_LIMIT_SHARE);
    }
}
