/** Limits how many requests a daemon sends again to another replica. */
package io.persimmonreel.core.retry;
