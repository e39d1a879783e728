package io.persimmonreel.core.ratelimit;

import java.util.List;
import java.util.regex.Pattern;

/**
 * States what a response says about the rate limit of its replica.
 *
 * @param kind whether there is a limit
 * @param perSecond the limit in requests per second from all daemons together, 0 if none is stated
 */
public record RateLimitStatement(Kind kind, double perSecond) {
    /** The response states no limit. */
    public static final RateLimitStatement NONE = new RateLimitStatement(Kind.NONE, 0);

    /** The response states a limit that can't be read, so that the last one stays in force. */
    public static final RateLimitStatement UNREADABLE = new RateLimitStatement(Kind.UNREADABLE, 0);

    private static final Pattern DECIMAL = Pattern.compile("\\d{1,9}(\\.\\d{0,9})?|\\.\\d{1,9}");

    /** Distinguishes the statements. */
    public enum Kind {
        /** No limit. */
        NONE,
        /** A limit. */
        STATED,
        /** A malformed limit. */
        UNREADABLE
    }

    /**
     * Reads the values of a header field.
     *
     * @param values all values of the field in one response, empty if it is missing
     * @return the lowest readable limit
     */
    public static RateLimitStatement parse(final List<String> values) {
        if (values.isEmpty()) {
            return NONE;
        }
        return values.stream()
                .map(String::trim)
                .filter(value -> DECIMAL.matcher(value).matches())
                .mapToDouble(Double::parseDouble)
                .min()
                .stream()
                .mapToObj(limit -> new RateLimitStatement(Kind.STATED, limit))
                .findFirst()
                .orElse(UNREADABLE);
    }
}
