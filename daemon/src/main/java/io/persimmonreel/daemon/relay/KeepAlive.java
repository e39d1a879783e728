package io.persimmonreel.daemon.relay;

import io.netty.handler.codec.http.HttpHeaders;
import java.time.Duration;

/** Reads how long a replica keeps an idle connection. */
final class KeepAlive {
    private static final String HEADER = "Keep-Alive";
    private static final String TIMEOUT = "timeout=";

    /** Replicas that say nothing close idle connections after unknown times. */
    private static final Duration UNSTATED = Duration.ofMillis(2_500);

    /** A connection is given up before the replica closes it. */
    private static final double SHARE = 0.7;

    private KeepAlive() {}

    static long limitNanos(final HttpHeaders headers) {
        final String value = headers.get(HEADER);
        final int start = value == null ? -1 : value.indexOf(TIMEOUT);
        if (start < 0) {
            return UNSTATED.toNanos();
        }
        int end = start + TIMEOUT.length();
        long seconds = 0;
        while (end < value.length() && Character.isDigit(value.charAt(end)) && seconds < 3_600) {
            seconds = seconds * 10 + value.charAt(end) - '0';
            end++;
        }
        return (long) (Duration.ofSeconds(seconds).toNanos() * SHARE);
    }
}
