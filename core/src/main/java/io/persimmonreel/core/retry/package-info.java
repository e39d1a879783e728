/** Limits resends to other replicas, and tracks whether an attempt may have run. */
package io.persimmonreel.core.retry;
