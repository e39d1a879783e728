/**
 * Transport of messages between daemons: TCP connections, optionally with TLS, mutual
 * authentication by the fleet secret, framing, and encoding as MessagePack.
 */
package io.persimmonreel.daemon.peer;
