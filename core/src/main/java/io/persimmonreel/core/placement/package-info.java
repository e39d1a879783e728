/** Choice of the replica that serves a relayed request. */
package io.persimmonreel.core.placement;
