package io.persimmonreel.daemon.request;

import io.persimmonreel.core.request.RequestIdentity;
import io.persimmonreel.core.service.ServiceSpec;
import io.persimmonreel.core.service.Tier;
import io.persimmonreel.core.service.UpstreamSpec;
import java.util.Optional;

/**
 * Describes a request that was read, authenticated and validated. It keeps the service, upstream
 * and tier of the configuration in force on arrival, also if a later configuration changes them.
 *
 * @param requestId the request's id, unique in the fleet
 * @param customer the customer's id
 * @param service the service
 * @param upstream the upstream that runs the service
 * @param tier the effective tier
 * @param arrivalNanos the monotonic time of arrival
 * @param deadlineNanos the monotonic time by which the complete answer is due
 * @param key the idempotency key, empty if there is none
 * @param body the request body
 * @param contentDigest the SHA-256 digest of the body
 * @param input the fields of an engine request, empty for plain services
 */
public record Submission(
        String requestId,
        String customer,
        ServiceSpec service,
        UpstreamSpec upstream,
        Tier tier,
        long arrivalNanos,
        long deadlineNanos,
        String key,
        byte[] body,
        String contentDigest,
        Optional<EngineInput> input) {
    /**
     * Tells whether the request needs a claim before it is queued.
     *
     * @return true for non-idempotent services
     */
    public boolean needsClaim() {
        return !service.idempotent();
    }

    /**
     * Returns the identity of a keyed request.
     *
     * @return customer, service and key
     */
    public RequestIdentity identity() {
        return new RequestIdentity(customer, service.id(), key);
    }

    /**
     * Returns the content by which this request is compared with others for similarity. A prefix
     * that many requests share is left out, since it would make them all look alike.
     *
     * @return the prompt without its shared prefix for engine requests, else the whole body
     */
    public byte[] similarityContent() {
        return input.map(EngineInput::similarityContent).orElse(body);
    }
}
