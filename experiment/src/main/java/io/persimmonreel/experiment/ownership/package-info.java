/**
 * Simulates failures of a fleet and compares methods that run a request with an idempotency key at
 * most once: by the share of requests that are answered, and by the keys that run twice.
 */
package io.persimmonreel.experiment.ownership;
