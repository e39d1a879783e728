/**
 * Selects the replica that serves a relayed request, from predicted latencies, prompt caches and
 * the division of replica slots among daemons.
 */
package io.persimmonreel.core.placement;
