package io.persimmonreel.fakes;

/** Receives the tokens of a stream on behalf of the connection that reads it. */
interface TokenSink {
    /**
     * Sends one token.
     *
     * @param index the token's index in the stream
     * @param text the token's text
     */
    void token(int index, String text);

    /**
     * Sends the end event and ends the response.
     *
     * @param tokens the number of tokens in the whole stream
     */
    void end(int tokens);

    /** Ends the response without an end event, for a paused or discarded stream. */
    void close();

    /** Closes the connection in the middle of the response, as a crashing engine does. */
    void abort();
}
