package io.persimmonreel.daemon.peer;

import io.persimmonreel.core.peer.Incarnation;

/**
 * Identifies a daemon in the fleet.
 *
 * @param incarnation the daemon's incarnation
 * @param slot the daemon's slot
 * @param zone the daemon's availability zone
 */
public record PeerIdentity(Incarnation incarnation, int slot, String zone) {}
