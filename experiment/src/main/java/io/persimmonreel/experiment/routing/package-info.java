/** Measures the time and the memory allocation of one routing decision. */
package io.persimmonreel.experiment.routing;
