package io.persimmonreel.core.membership;

import io.persimmonreel.core.peer.Incarnation;
import io.persimmonreel.core.peer.PeerMessage;

/**
 * Holds a message together with its receiver.
 *
 * @param to the receiver
 * @param message the message
 */
public record AddressedMessage(Incarnation to, PeerMessage message) {}
