package io.persimmonreel.daemon.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.persimmonreel.core.request.Problem;
import java.util.LinkedHashMap;
import java.util.Map;

/** Writes problems as problem details documents ({@code application/problem+json}). */
final class ProblemDocument {
    static final String MEDIA_TYPE = "application/problem+json";

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private ProblemDocument() {}

    /**
     * Writes a problem as a document.
     *
     * @param problem the problem
     * @return the document on one line
     */
    static String of(final Problem problem) {
        final Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("type", problem.type().uri());
        fields.put("title", problem.type().title());
        fields.put("status", problem.type().status());
        fields.put("detail", problem.detail());
        fields.put("outcome", problem.outcome().label());
        fields.put("requestId", problem.requestId());
        fields.put("retryAfterMillis", problem.retryAfterMillis());
        fields.put("step", problem.step().label());
        fields.put("peer", problem.peer());
        return json(fields);
    }

    /**
     * Writes fields as a JSON object.
     *
     * @param fields the fields in order
     * @return the object on one line
     */
    static String json(final Map<String, Object> fields) {
        try {
            return MAPPER.writeValueAsString(fields);
        } catch (final JsonProcessingException e) {
            throw new IllegalStateException("strings and numbers can always be written as JSON", e);
        }
    }
}
