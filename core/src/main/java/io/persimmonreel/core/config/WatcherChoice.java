package io.persimmonreel.core.config;

import io.persimmonreel.core.peer.Incarnation;
import io.persimmonreel.core.peer.RendezvousHash;
import java.time.Duration;
import java.util.Collection;

/**
 * Chooses the daemons that watch the configuration service, while the others poll it. A waiting
 * watch counts against the service's rate limit, which grows more slowly than the fleet, so the
 * number of watchers is fixed.
 */
public final class WatcherChoice {
    /** Two watchers may fail or read a stale copy, and the third one still works. */
    public static final int WATCHER_COUNT = 3;

    /** The interval between two reads of a daemon that does not watch; 880 make 30 reads/s. */
    public static final Duration POLL_INTERVAL = Duration.ofSeconds(30);

    private static final String SUBJECT = "configuration watch";

    private WatcherChoice() {}

    /**
     * Tells whether a daemon watches the configuration service.
     *
     * @param self the daemon's incarnation
     * @param live the live members, with or without {@code self}
     * @return true if it watches, false if it polls every {@link #POLL_INTERVAL}
     */
    public static boolean isWatcher(final Incarnation self, final Collection<Incarnation> live) {
        return live.size() < WATCHER_COUNT
                || RendezvousHash.pick(SUBJECT, live, WATCHER_COUNT).contains(self);
    }
}
