/**
 * Messages between daemons, the identities of daemon processes and the assignment of tasks to them.
 * The encoding and the transport of the messages are elsewhere.
 */
package io.persimmonreel.core.peer;
