/** Serves operators over HTTP: metrics, health, state, decision records and objective reports. */
package io.persimmonreel.daemon.operator;
