/**
 * Grants of slots of upstreams that have too few slots to be divided among the daemons. One daemon
 * grants the slots of an upstream, the others claim them before they send a request.
 */
package io.persimmonreel.core.grant;
