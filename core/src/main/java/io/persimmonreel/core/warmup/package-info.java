/** Keeps replicas that have just started within the rate of requests that they take while cold. */
package io.persimmonreel.core.warmup;
