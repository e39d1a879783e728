/**
 * Discrete-event simulation of a fleet: runs the decision library of several daemons, and fakes of
 * the network, the platform, engines and requests, in virtual time on one thread.
 */
package io.persimmonreel.experiment.virtual;
