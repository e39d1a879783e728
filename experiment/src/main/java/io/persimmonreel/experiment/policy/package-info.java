/**
 * Compares the fleet scheduler with baseline policies and an oracle in a discrete-event simulation:
 * simulated replicas, generated workloads, the policies, the stated targets and plots of the
 * results.
 */
package io.persimmonreel.experiment.policy;
