package io.persimmonreel.cli;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;

/**
 * Describes one request to a service.
 *
 * @param service the service id
 * @param body the request body, JSON
 * @param prompt the prompt with its prefix, as the engine receives it; empty for a plain service
 * @param maxOutputTokens the maximum number of tokens in the answer, 0 for a plain service
 * @param key the idempotency key, empty if there is none
 * @param stream whether the answer is read as server-sent events
 * @param headers additional request headers, alternating names and values
 */
record Call(
        String service,
        String body,
        String prompt,
        int maxOutputTokens,
        String key,
        boolean stream,
        List<String> headers) {
    private static final ObjectMapper JSON = new ObjectMapper();

    /** Creates a request to a plain service. */
    static Call plain(final String service, final String body, final String key) {
        return new Call(service, body, "", 0, key, false, List.of());
    }

    /** Creates a request to an engine. */
    static Call engine(
            final String service,
            final String prefix,
            final String prompt,
            final int maxOutputTokens,
            final boolean stream) {
        final ObjectNode body = JSON.createObjectNode().put("prompt", prompt);
        if (!prefix.isEmpty()) {
            body.put("prefix", prefix);
        }
        body.put("maxOutputTokens", maxOutputTokens);
        return new Call(
                service, body.toString(), prefix + prompt, maxOutputTokens, "", stream, List.of());
    }

    /** Returns a copy with an idempotency key. */
    Call withKey(final String value) {
        return new Call(service, body, prompt, maxOutputTokens, value, stream, headers);
    }

    /** Returns a copy with other additional request headers. */
    Call withHeaders(final List<String> value) {
        return new Call(service, body, prompt, maxOutputTokens, key, stream, value);
    }

    /** Tells whether the upstream of the service is an engine. */
    boolean isEngine() {
        return maxOutputTokens > 0;
    }
}
