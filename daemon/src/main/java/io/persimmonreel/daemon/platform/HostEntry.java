package io.persimmonreel.daemon.platform;

/**
 * Holds one entry of the platform's host list.
 *
 * @param slot the slot of a daemon, 0 or less for a host of an upstream
 * @param address the address as {@code ip:port}
 * @param zone the availability zone
 * @param leaving whether the host is listed as leaving
 */
public record HostEntry(int slot, String address, String zone, boolean leaving) {}
