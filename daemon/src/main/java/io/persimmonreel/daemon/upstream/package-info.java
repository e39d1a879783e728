/**
 * HTTP clients for engines and plain services. They dispatch each request at most once, validate
 * the responses, and poll the replicas' load reports.
 */
package io.persimmonreel.daemon.upstream;
