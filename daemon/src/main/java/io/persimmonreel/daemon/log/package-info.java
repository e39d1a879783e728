/** Structured records of decisions and of changes of belief. */
package io.persimmonreel.daemon.log;
