package io.persimmonreel.core.grant;

/**
 * Identifies a claim.
 *
 * @param origin the address of the daemon that has the request
 * @param number the number of the claim at its origin
 */
record ClaimKey(String origin, long number) {}
