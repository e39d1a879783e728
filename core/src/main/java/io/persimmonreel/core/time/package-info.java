/**
 * Interfaces for clocks and timers, so that the same decision logic runs in real and virtual time.
 */
package io.persimmonreel.core.time;
