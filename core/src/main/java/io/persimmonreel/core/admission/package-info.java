/** Decides whether a relayed request is sent, waits or is refused. */
package io.persimmonreel.core.admission;
