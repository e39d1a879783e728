package io.persimmonreel.cli;

/**
 * Represents one request that was sent, with its answer.
 *
 * @param call the request
 * @param answer the checked answer
 * @param startNanos the monotonic time at which it was sent
 * @param endNanos the monotonic time at which the answer ended
 */
record Attempt(Call call, Answer answer, long startNanos, long endNanos) {}
