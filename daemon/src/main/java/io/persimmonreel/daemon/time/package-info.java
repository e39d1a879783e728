/** Provides the system clocks and the timer service of a running daemon. */
package io.persimmonreel.daemon.time;
