/**
 * Assembles a daemon and runs its life cycle: connects the scheduling logic of the core module with
 * callers, operators, peers, upstreams and the platform.
 */
package io.persimmonreel.daemon;
