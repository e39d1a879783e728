package io.persimmonreel.daemon.http;

import io.persimmonreel.core.request.RequestException;
import java.util.Map;
import ratpack.handling.Context;
import ratpack.handling.Handler;

/** Issues an idempotency key to a customer: {@code POST /v1/keys}. */
final class IdempotencyKeyHandler implements Handler {
    private final CallerParts mParts;
    private final RequestHeadReader mHeadReader;
    private final ResponseWriter mResponseWriter;

    IdempotencyKeyHandler(
            final CallerParts parts,
            final RequestHeadReader headReader,
            final ResponseWriter responseWriter) {
        mParts = parts;
        mHeadReader = headReader;
        mResponseWriter = responseWriter;
    }

    @Override
    public void handle(final Context context) {
        try {
            mHeadReader.authenticate(
                    context.getRequest().getHeaders()::get, mParts.requestIds().get());
        } catch (final RequestException e) {
            mResponseWriter.refuse(context, "", e.problem());
            return;
        }
        mResponseWriter.addCommonHeaders(context);
        final Map<String, Object> fields = Map.of("key", mParts.idempotencyKeys().get());
        context.getResponse().send("application/json", ProblemDocument.json(fields));
    }
}
