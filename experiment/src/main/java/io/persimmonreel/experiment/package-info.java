/**
 * Measures scheduling, failure detection, request ownership and capacity, mostly in virtual time.
 * The subpackages hold one experiment each.
 */
package io.persimmonreel.experiment;
