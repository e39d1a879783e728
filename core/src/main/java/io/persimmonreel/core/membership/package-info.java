/**
 * Decides which daemons are members of the fleet, as one daemon sees it: a failure detector by
 * heartbeats, gossip of state changes and the platform's host list. Also chooses which daemons
 * connect to each other.
 */
package io.persimmonreel.core.membership;
