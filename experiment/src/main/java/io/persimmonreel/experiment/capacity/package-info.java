/**
 * Measures how memory, message sizes and CPU time grow with the size of a fleet, as the basis of
 * docs/CAPACITY.md.
 */
package io.persimmonreel.experiment.capacity;
