/** Measures what the control of a daemon costs: messages, bytes and time on its event loop. */
package io.persimmonreel.daemon.cost;
