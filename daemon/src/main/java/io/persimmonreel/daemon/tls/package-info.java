/**
 * TLS for connections of callers and between daemons. Certificates are reloaded when their files
 * change.
 */
package io.persimmonreel.daemon.tls;
