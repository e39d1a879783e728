/**
 * Claims on request identities, which ensure that a request with an idempotency key is dispatched
 * at most once in the fleet. A daemon obtains a claim by the grants of a quorum of members.
 */
package io.persimmonreel.core.claim;
