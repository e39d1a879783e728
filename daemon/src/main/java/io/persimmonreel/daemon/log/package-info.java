/** Structured log of decisions and state changes, written as one JSON object a line. */
package io.persimmonreel.daemon.log;
