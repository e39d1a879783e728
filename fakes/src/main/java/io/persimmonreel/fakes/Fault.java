package io.persimmonreel.fakes;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Locale;

/**
 * Describes one fault that a fake injects.
 *
 * @param kind the kind of fault
 * @param times how often it is injected; 0 means until it is cleared
 * @param after the number of tokens sent before it, for faults of streams
 * @param millis the downtime, delay or lag in milliseconds
 * @param factor how many times slower the fake runs, above 0, for {@link Kind#SLOW}
 * @param status the HTTP status, for {@link Kind#FAIL_FAST}
 * @param version the newest configuration version served, for {@link Kind#STALE}
 * @param text the text in a prompt or body that causes the crash, for {@link Kind#CRASH_ON}
 */
public record Fault(
        Kind kind,
        int times,
        int after,
        long millis,
        double factor,
        int status,
        long version,
        String text) {
    private static final int FAILURE_STATUS = 500;

    /** Kinds of faults. */
    public enum Kind {
        /**
         * Closes all connections, discards the state in memory and refuses connections for a time.
         */
        CRASH,
        /** Crashes on a prompt or body that contains a text: after prefill, or after the run. */
        CRASH_ON,
        /** Multiplies the run time by a factor. */
        SLOW,
        /** Closes the connection of a stream after a number of tokens; the KV cache is kept. */
        BREAK_STREAM,
        /** Sends a token of another stream before one of the stream's own tokens. */
        FOREIGN_TOKEN,
        /** Sends one token twice. */
        DUPLICATE_TOKEN,
        /** Ends a stream without an end event. */
        NO_END,
        /** Answers at once with an error status and runs nothing. */
        FAIL_FAST,
        /** Counts a run of the request and never answers it. */
        HANG,
        /** Runs the request and closes the connection without a response. */
        BREAK_AFTER_READ,
        /** Runs the request and answers after a further delay. */
        LATE_ANSWER,
        /** Runs the request, sends half of the response body and closes the connection. */
        TRUNCATE,
        /** Runs the request and answers with the request id of another one. */
        CROSSED_ID,
        /** Closes the connection of every read without a response. */
        DOWN,
        /** Serves no configuration newer than a version. */
        STALE,
        /** Delays the response to every read. */
        DELAY,
        /** Serves the host list as it was a given time ago. */
        HOST_LAG,
        /** Clears all faults; injects none itself. */
        CLEAR;

        private boolean lastsUntilCleared() {
            return switch (this) {
                case CRASH_ON, SLOW, DOWN, STALE, DELAY, HOST_LAG -> true;
                default -> false;
            };
        }
    }

    /**
     * Creates a fault with default values. It is injected once, or until it is cleared if it
     * affects the fake as a whole or is triggered by the content of a request.
     *
     * @param kind the kind of fault
     * @return the fault
     */
    public static Fault of(final Kind kind) {
        final int times = kind.lastsUntilCleared() ? 0 : 1;
        return new Fault(kind, times, 0, 0, 1.0, FAILURE_STATUS, 0, "");
    }

    /**
     * Reads a fault from a JSON object. The field {@code kind} is required, such as {@code
     * break-stream}; the other components are optional fields of the same name.
     *
     * @param node the JSON object
     * @return the fault
     * @throws IllegalArgumentException if the kind is unknown
     */
    public static Fault ofJson(final JsonNode node) {
        final String label = node.path("kind").asText();
        final Fault base = of(Kind.valueOf(label.toUpperCase(Locale.ROOT).replace('-', '_')));
        return new Fault(
                base.kind,
                node.path("times").asInt(base.times),
                node.path("after").asInt(base.after),
                node.path("millis").asLong(base.millis),
                node.path("factor").asDouble(base.factor),
                node.path("status").asInt(base.status),
                node.path("version").asLong(base.version),
                node.path("text").asText(base.text));
    }

    /**
     * Returns a copy that is injected a number of times.
     *
     * @param value the number of times; 0 means until it is cleared
     * @return the copy
     */
    public Fault withTimes(final int value) {
        return new Fault(kind, value, after, millis, factor, status, version, text);
    }

    /**
     * Returns a copy that is injected after a number of tokens.
     *
     * @param value the number of tokens
     * @return the copy
     */
    public Fault withAfter(final int value) {
        return new Fault(kind, times, value, millis, factor, status, version, text);
    }

    /**
     * Returns a copy with a duration.
     *
     * @param value the duration in milliseconds
     * @return the copy
     */
    public Fault withMillis(final long value) {
        return new Fault(kind, times, after, value, factor, status, version, text);
    }

    /**
     * Returns a copy with a factor.
     *
     * @param value how many times slower the fake runs
     * @return the copy
     */
    public Fault withFactor(final double value) {
        return new Fault(kind, times, after, millis, value, status, version, text);
    }

    /**
     * Returns a copy with an HTTP status.
     *
     * @param value the status
     * @return the copy
     */
    public Fault withStatus(final int value) {
        return new Fault(kind, times, after, millis, factor, value, version, text);
    }

    /**
     * Returns a copy with a configuration version.
     *
     * @param value the version
     * @return the copy
     */
    public Fault withVersion(final long value) {
        return new Fault(kind, times, after, millis, factor, status, value, text);
    }

    /**
     * Returns a copy with a text.
     *
     * @param value the text
     * @return the copy
     */
    public Fault withText(final String value) {
        return new Fault(kind, times, after, millis, factor, status, version, value);
    }
}
