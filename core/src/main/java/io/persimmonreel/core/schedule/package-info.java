/**
 * Request scheduling on one daemon: admission, fair queueing, concurrency limits, choice of a
 * replica, load shedding, and pause and resume of streams.
 */
package io.persimmonreel.core.schedule;
