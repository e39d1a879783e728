/** Quotas of customers that all daemons share without shared state. */
package io.persimmonreel.core.quota;
