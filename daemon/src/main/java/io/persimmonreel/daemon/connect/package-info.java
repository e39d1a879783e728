/**
 * Outgoing connections, the listening socket for callers, and the number of descriptors that are
 * there for connections.
 */
package io.persimmonreel.daemon.connect;
