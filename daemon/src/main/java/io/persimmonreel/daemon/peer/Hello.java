package io.persimmonreel.daemon.peer;

/**
 * The first message that each daemon sends on a new connection.
 *
 * @param protocol the protocol version
 * @param fleet the fleet's name
 * @param slot the sender's slot
 * @param incarnation the sender's incarnation
 * @param zone the sender's availability zone
 * @param nonce {@value #NONCE_BYTES} random bytes, new for each connection
 */
record Hello(int protocol, String fleet, int slot, long incarnation, String zone, byte[] nonce) {
    /** The protocol version of this release. */
    static final int PROTOCOL_VERSION = 4;

    /** The length of the nonce in bytes. */
    static final int NONCE_BYTES = 32;
}
