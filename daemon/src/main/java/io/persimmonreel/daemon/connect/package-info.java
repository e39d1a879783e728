/** Outgoing connections, and the number of descriptors that are there for connections. */
package io.persimmonreel.daemon.connect;
