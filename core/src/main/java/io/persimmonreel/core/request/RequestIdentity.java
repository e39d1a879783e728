package io.persimmonreel.core.request;

import java.util.Objects;

/**
 * Identifies a request with an idempotency key in the whole fleet. Requests with the same identity
 * are repetitions of one request.
 *
 * @param customer the customer's id
 * @param service the service's id
 * @param key the idempotency key
 */
public record RequestIdentity(String customer, String service, String key) {
    /** Checks that no component is null. */
    public RequestIdentity {
        Objects.requireNonNull(customer, "customer");
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(key, "key");
    }
}
