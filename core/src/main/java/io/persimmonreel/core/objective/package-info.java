/**
 * Service-level objectives: counts of requests and prompt tokens, and from them attainment, error
 * budget, burn rate, alerts, goodput and wasted prefill.
 */
package io.persimmonreel.core.objective;
