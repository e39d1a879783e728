/**
 * Configuration of relayed requests: routes by hostname and path prefix, their upstreams and time
 * limits, the customers, and the limits on what callers send.
 */
package io.persimmonreel.core.route;
