/**
 * Relays HTTP requests from callers to replicas of upstreams and their responses back to callers.
 *
 * <p>The package contains the server for callers, the connections to replicas, the scheduling and
 * resending of requests, and the exchange of load and quota use with other daemons.
 */
package io.persimmonreel.daemon.relay;
