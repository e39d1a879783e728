/**
 * Divides the rate limits that replicas advertise among the daemons, and decides what happens to
 * requests that wait for one.
 */
package io.persimmonreel.core.ratelimit;
