package io.persimmonreel.experiment.virtual;

import io.persimmonreel.core.membership.ListedHost;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Simulates the platform: its configuration service, which can be down or serve an old version, and
 * its host list, which can be out of date. Not thread safe.
 */
public final class VirtualPlatform {
    private record HostList(long publishedNanos, List<ListedHost> hosts) {}

    private final EventQueue mQueue;
    private final TreeMap<Long, String> mTexts = new TreeMap<>();
    private final List<HostList> mHostLists = new ArrayList<>();
    private boolean mDown;
    private long mHighestServedVersion = Long.MAX_VALUE;
    private long mHostListDelayNanos;

    VirtualPlatform(final EventQueue queue) {
        mQueue = queue;
    }

    /**
     * Publishes an operator text.
     *
     * @param version the version
     * @param text the text
     */
    public void publish(final long version, final String text) {
        mTexts.put(version, text);
    }

    /**
     * Makes the platform unreachable or reachable again.
     *
     * @param down whether it is unreachable
     */
    public void setDown(final boolean down) {
        mDown = down;
    }

    /**
     * Makes the configuration service serve no version above a given one.
     *
     * @param version the highest version that it serves
     */
    public void serveAtMost(final long version) {
        mHighestServedVersion = version;
    }

    /**
     * Makes readers get an old host list.
     *
     * @param delay the time from the publication of a list until readers get it
     */
    public void setHostListDelay(final Duration delay) {
        mHostListDelayNanos = delay.toNanos();
    }

    /**
     * Publishes a host list.
     *
     * @param hosts the hosts
     */
    public void publishHosts(final List<ListedHost> hosts) {
        mHostLists.add(new HostList(mQueue.nowNanos(), List.copyOf(hosts)));
    }

    boolean isDown() {
        return mDown;
    }

    /** Returns the highest version that is served and its text; empty if there is none. */
    Optional<Map.Entry<Long, String>> readConfiguration() {
        return mDown
                ? Optional.empty()
                : Optional.ofNullable(mTexts.floorEntry(mHighestServedVersion));
    }

    /** Returns the host list as it is served now, an empty list before the first one. */
    List<ListedHost> readHosts() {
        final long latestNanos = mQueue.nowNanos() - mHostListDelayNanos;
        List<ListedHost> found = List.of();
        for (final HostList list : mHostLists) {
            found = list.publishedNanos() <= latestNanos ? list.hosts() : found;
        }
        return found;
    }
}
