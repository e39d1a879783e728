/** Customers: authentication by bearer key, and quotas on rate and concurrency. */
package io.persimmonreel.core.customer;
