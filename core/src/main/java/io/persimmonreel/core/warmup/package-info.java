/**
 * Keeps replicas that have just started within the rate of requests that they take while cold. The
 * shares of daemons come from {@link io.persimmonreel.core.quota.FleetShare} and {@link
 * io.persimmonreel.core.ratelimit.RateShares}.
 */
package io.persimmonreel.core.warmup;
