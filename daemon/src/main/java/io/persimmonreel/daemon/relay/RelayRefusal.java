package io.persimmonreel.daemon.relay;

import io.netty.handler.codec.http.HttpResponseStatus;

/**
 * Holds the status and reason with which a request is refused.
 *
 * @param status the status
 * @param reason the reason, one short sentence
 */
record RelayRefusal(HttpResponseStatus status, String reason) {}
