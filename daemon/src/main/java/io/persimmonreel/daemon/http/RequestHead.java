package io.persimmonreel.daemon.http;

import io.persimmonreel.core.customer.CustomerSpec;
import io.persimmonreel.core.service.ServiceSpec;
import io.persimmonreel.core.service.Tier;
import io.persimmonreel.core.service.UpstreamSpec;

/**
 * Holds what the path and the headers of a request say, with the defaults of its service applied.
 *
 * @param requestId the request's id
 * @param customer the customer
 * @param service the service
 * @param upstream the upstream of the service
 * @param tier the effective tier, the lowest of service, header and parent request
 * @param arrivalNanos the monotonic time at which the request arrived
 * @param deadlineNanos the monotonic time by which the whole answer is due
 * @param idempotencyKey the idempotency key, empty if there is none
 * @param streamed whether the caller asked for server-sent events
 */
record RequestHead(
        String requestId,
        CustomerSpec customer,
        ServiceSpec service,
        UpstreamSpec upstream,
        Tier tier,
        long arrivalNanos,
        long deadlineNanos,
        String idempotencyKey,
        boolean streamed) {}
