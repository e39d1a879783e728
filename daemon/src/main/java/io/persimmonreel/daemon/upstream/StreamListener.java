package io.persimmonreel.daemon.upstream;

/** Receives a validated token stream, which ends with {@link #onEnd} or {@link #onFailure}. */
public interface StreamListener {
    /**
     * Called for the next token.
     *
     * @param index the token's index, one above that of the previous token
     * @param text the token's text
     */
    void onToken(int index, String text);

    /**
     * Called when the stream is complete.
     *
     * @param tokens the number of tokens of the whole stream, including those before a resume
     */
    void onEnd(int tokens);

    /**
     * Called when the stream failed.
     *
     * @param failure the failure
     */
    void onFailure(UpstreamException failure);
}
