/** Routes of relayed requests: hosts, prefixes, upstreams, time limits and customers. */
package io.persimmonreel.core.route;
