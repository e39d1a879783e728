/** Relay of opaque HTTP requests to the replicas of upstreams, and of their answers to callers. */
package io.persimmonreel.daemon.relay;
