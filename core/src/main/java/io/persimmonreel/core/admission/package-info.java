/**
 * Admission control of relayed requests: decides whether a request is sent to a replica, waits in
 * the daemon or is refused.
 */
package io.persimmonreel.core.admission;
