package io.persimmonreel.daemon.relay;

import io.persimmonreel.core.quarantine.Fingerprint;
import java.util.List;

/**
 * Describes a request as it was when the connection to its replica broke.
 *
 * @param content the content of the request, which may have released its body since
 * @param sharedParts the parts of the prompt that other requests may share
 * @param sentNanos the monotonic time at which it was sent to that replica, in nanoseconds
 * @param begun whether the replica had begun the response
 */
record BrokenExchange(Fingerprint content, List<Long> sharedParts, long sentNanos, boolean begun) {}
