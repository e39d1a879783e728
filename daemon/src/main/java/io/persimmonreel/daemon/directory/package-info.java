/** Discovery of the configuration and of replicas from a source that can only be read. */
package io.persimmonreel.daemon.directory;
