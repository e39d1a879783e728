package io.persimmonreel.core.membership;

/**
 * Describes the host of a daemon in the platform's host list.
 *
 * @param slot the daemon's slot
 * @param zone the availability zone
 * @param leaving whether the list marks the host as leaving
 */
public record ListedHost(int slot, String zone, boolean leaving) {}
