/** Budgets for sending requests to a second replica. */
package io.persimmonreel.core.retry;
