package io.persimmonreel.fakes;

/**
 * Describes one host in the platform's host list.
 *
 * @param slot the slot number of the host's daemon, -1 if it runs none
 * @param address the address as {@code ip:port}
 * @param zone the availability zone
 * @param state {@code live} or {@code leaving}
 */
public record HostEntry(int slot, String address, String zone, String state) {
    /**
     * Returns a copy in state {@code leaving}.
     *
     * @return the copy
     */
    public HostEntry leaving() {
        return new HostEntry(slot, address, zone, "leaving");
    }
}
