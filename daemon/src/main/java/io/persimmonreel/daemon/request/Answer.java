package io.persimmonreel.daemon.request;

/**
 * Represents a complete answer to a request.
 *
 * @param status the HTTP status
 * @param contentType the media type
 * @param body the body
 * @param tokens the number of output tokens of an engine, -1 for other answers
 * @param textSha256 the SHA-256 digest of the text of an engine answer in hexadecimal, empty for
 *     other answers
 */
public record Answer(int status, String contentType, byte[] body, int tokens, String textSha256) {}
