package io.persimmonreel.daemon.peer;

/**
 * The message by which a daemon proves that it knows the fleet secret.
 *
 * @param mac the HMAC-SHA256 over the sender's hello and the receiver's nonce
 */
record Proof(byte[] mac) {}
