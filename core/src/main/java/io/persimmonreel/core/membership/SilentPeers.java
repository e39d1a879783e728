package io.persimmonreel.core.membership;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** Records whether peers that were heard before have fallen silent. Not thread safe. */
public final class SilentPeers {
    /** The time between two calls of {@link #onHeard}. */
    public static final Duration INTERVAL = Duration.ofSeconds(1);

    /** The time after which a peer is silent; connections are opened anew within it. */
    private static final long SILENCE_NANOS = TimeUnit.SECONDS.toNanos(2);

    /** The time for which a silent peer is remembered, and a silence that has ended. */
    private static final long RETENTION_NANOS = TimeUnit.SECONDS.toNanos(20);

    private final Map<String, Long> mLastHeardNanos = new HashMap<>();
    private long mLastSilentNanos;

    /**
     * Creates a record without peers. Before it is old enough, peers may be silent that were never
     * heard.
     *
     * @param nowNanos the current monotonic time in nanoseconds
     */
    public SilentPeers(final long nowNanos) {
        mLastSilentNanos = nowNanos;
    }

    /**
     * Records which peers are heard now.
     *
     * @param heard the addresses of the peers
     * @param nowNanos the current monotonic time in nanoseconds
     */
    public void onHeard(final Collection<String> heard, final long nowNanos) {
        heard.forEach(peer -> mLastHeardNanos.put(peer, nowNanos));
        mLastHeardNanos.values().removeIf(nanos -> nowNanos - nanos > RETENTION_NANOS);
        if (mLastHeardNanos.values().stream().anyMatch(nanos -> nowNanos - nanos > SILENCE_NANOS)) {
            mLastSilentNanos = nowNanos;
        }
    }

    /**
     * Returns whether a peer is silent, or was lately.
     *
     * @param nowNanos the current monotonic time in nanoseconds
     * @return true until some time after the peer is heard again, and after the creation
     */
    public boolean isAnyLately(final long nowNanos) {
        return nowNanos - mLastSilentNanos <= RETENTION_NANOS;
    }
}
