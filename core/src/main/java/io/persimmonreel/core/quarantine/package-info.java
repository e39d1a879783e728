/**
 * Refuses requests whose content crashes replicas, but not requests that only ran on the same
 * replicas at the time.
 */
package io.persimmonreel.core.quarantine;
