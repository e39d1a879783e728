/** Reads the settings of a daemon from flags and environment variables, and configures logging. */
package io.persimmonreel.daemon.settings;
