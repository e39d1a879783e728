package io.persimmonreel.daemon.request;

import io.persimmonreel.core.request.Problem;

/**
 * Receives the tokens and the result of one request. Implementations never block. Exactly one of
 * {@link #onAnswer} and {@link #onProblem} is called, once, and no other method after it.
 */
public interface AnswerSink {
    /**
     * Receives the next token of a streamed answer.
     *
     * @param index the position of the token in the answer, from 0
     * @param text the token's text
     */
    void onToken(int index, String text);

    /**
     * Receives the complete answer, which includes the tokens received before.
     *
     * @param answer the answer
     */
    void onAnswer(Answer answer);

    /**
     * Receives the failure or refusal of the request.
     *
     * @param problem the problem
     */
    void onProblem(Problem problem);
}
