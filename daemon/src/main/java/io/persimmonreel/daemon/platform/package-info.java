/** Reads the configuration service and the host list of the platform. */
package io.persimmonreel.daemon.platform;
