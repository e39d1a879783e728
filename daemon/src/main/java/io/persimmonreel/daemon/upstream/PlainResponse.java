package io.persimmonreel.daemon.upstream;

/**
 * Holds the validated response of a plain service.
 *
 * @param status the HTTP status code
 * @param contentType the media type
 * @param body the complete body
 */
public record PlainResponse(int status, String contentType, byte[] body) {}
