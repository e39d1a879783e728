package io.persimmonreel.daemon.relay;

/**
 * Describes a request as it was when the connection to its replica broke.
 *
 * @param call the request, which may have been sent again since
 * @param sentNanos the monotonic time at which it was sent to that replica, in nanoseconds
 * @param begun whether the replica had begun the response
 */
record BrokenExchange(RelayCall call, long sentNanos, boolean begun) {}
