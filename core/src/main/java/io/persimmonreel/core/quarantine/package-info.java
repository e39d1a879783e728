/**
 * Refuses requests whose content crashes replicas, but not requests that only ran on the same
 * replicas at the time. Evidence is kept by whole content and by part of a prompt.
 */
package io.persimmonreel.core.quarantine;
