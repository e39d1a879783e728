package io.persimmonreel.daemon.platform;

import java.util.Optional;

/** Receives the configuration and the host list of the platform, called from several threads. */
public interface PlatformListener {
    /**
     * Receives the configuration text that the configuration service serves.
     *
     * @param version the version of the configuration
     * @param text the configuration text
     */
    void onConfiguration(long version, String text);

    /**
     * Receives the host list.
     *
     * @param hosts the list
     */
    void onHosts(HostList hosts);

    /**
     * Returns the version of the accepted configuration; watches wait for a newer one.
     *
     * @return the version, 0 if none
     */
    long acceptedVersion();

    /**
     * Tells whether this daemon watches the configuration service instead of polling it.
     *
     * @return true if this daemon is one of the few watchers of the fleet
     */
    boolean isWatcher();

    /**
     * Receives the result of the latest read of the configuration service.
     *
     * @param failure why it failed, or empty if it succeeded
     */
    void onConfigurationReadResult(Optional<String> failure);
}
