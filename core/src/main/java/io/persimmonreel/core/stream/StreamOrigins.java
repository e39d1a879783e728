package io.persimmonreel.core.stream;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/** Holds the software versions at which streams began, for a limited time. Not thread safe. */
public final class StreamOrigins {
    /** The maximum number of streams; the eldest are forgotten first. */
    static final int MAXIMUM_STREAMS = 65_536;

    private static final long RETENTION_NANOS = TimeUnit.SECONDS.toNanos(60);

    private final Map<Long, Origin> mOrigins = new LinkedHashMap<>();

    /**
     * Describes the begin of a stream.
     *
     * @param version the software version of the replica that sent the first event
     * @param beganNanos the monotonic time of the first event in nanoseconds
     */
    public record Origin(String version, long beganNanos) {}

    /**
     * Records where a stream began; the first record of a stream holds.
     *
     * @param stream the key of the stream
     * @param origin where it began
     */
    public void record(final long stream, final Origin origin) {
        mOrigins.putIfAbsent(stream, origin);
        if (mOrigins.size() > MAXIMUM_STREAMS) {
            final Iterator<Long> eldest = mOrigins.keySet().iterator();
            eldest.next();
            eldest.remove();
        }
    }

    /**
     * Returns where a stream began.
     *
     * @param stream the key of the stream
     * @return the origin, or empty if it is not known
     */
    public Optional<Origin> find(final long stream) {
        return Optional.ofNullable(mOrigins.get(stream));
    }

    /**
     * Forgets the eldest streams, which began too long ago to be continued.
     *
     * @param nowNanos the current monotonic time in nanoseconds
     */
    public void removeExpired(final long nowNanos) {
        final Iterator<Origin> eldest = mOrigins.values().iterator();
        while (eldest.hasNext() && nowNanos - eldest.next().beganNanos() > RETENTION_NANOS) {
            eldest.remove();
        }
    }

    /**
     * Returns the number of streams whose origin is known.
     *
     * @return the streams
     */
    public int size() {
        return mOrigins.size();
    }
}
