package io.persimmonreel.core.replica;

import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Pattern;

/** Reads for how long a replica wants no requests. */
public final class PushBackTime {
    private static final Pattern DECIMAL = Pattern.compile("\\d{1,18}(\\.\\d{0,18})?|\\.\\d{1,18}");
    private static final Pattern LONG_INTEGER = Pattern.compile("\\d{19,}(\\.\\d*)?");

    private PushBackTime() {}

    /**
     * Reads the values of a Retry-After header field.
     *
     * @param values all values of the field in one response, empty if it is missing
     * @return the longest time that is stated in seconds, in nanoseconds and cut to the longest
     *     push-back; 0 if there is none, as for dates, negative and malformed values
     */
    public static long parseNanos(final List<String> values) {
        long longest = 0;
        for (final String value : values) {
            longest = Math.max(longest, parseNanos(value.trim()));
        }
        return longest;
    }

    private static long parseNanos(final String value) {
        if (LONG_INTEGER.matcher(value).matches()) {
            return ReplicaAvailability.LONGEST_PUSH_BACK_NANOS;
        }
        if (!DECIMAL.matcher(value).matches()) {
            return 0;
        }
        final double nanos = Double.parseDouble(value) * TimeUnit.SECONDS.toNanos(1);
        return (long) Math.min(nanos, ReplicaAvailability.LONGEST_PUSH_BACK_NANOS);
    }
}
