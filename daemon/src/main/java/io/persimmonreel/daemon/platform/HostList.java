package io.persimmonreel.daemon.platform;

import java.util.List;

/**
 * Holds one version of the platform's host list.
 *
 * @param version the version of the list
 * @param hosts the live and leaving hosts
 */
public record HostList(long version, List<HostEntry> hosts) {
    /** Copies the list. */
    public HostList {
        hosts = List.copyOf(hosts);
    }
}
