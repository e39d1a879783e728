/** Measures the accuracy, the speed and the message cost of the failure detector. */
package io.persimmonreel.experiment.membership;
