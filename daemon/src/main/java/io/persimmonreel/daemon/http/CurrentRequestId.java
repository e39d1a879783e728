package io.persimmonreel.daemon.http;

/**
 * Makes the id of the current request known to error handlers, through the request's registry.
 *
 * @param requestId the request's id
 */
record CurrentRequestId(String requestId) {}
