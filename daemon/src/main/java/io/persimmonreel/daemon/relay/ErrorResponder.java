package io.persimmonreel.daemon.relay;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.nio.charset.StandardCharsets;

/** Writes the relay's own responses to requests that it does not serve. */
final class ErrorResponder {
    private final RelayDialect mDialect;

    ErrorResponder(final RelayDialect dialect) {
        mDialect = dialect;
    }

    /**
     * Responds to a request.
     *
     * @param request the request
     * @param status the status
     * @param reason the reason, one short sentence
     * @param retryAfterMillis the Retry-After time in milliseconds, 0 for none
     */
    void respond(
            final CallerRequest request,
            final HttpResponseStatus status,
            final String reason,
            final long retryAfterMillis) {
        final HttpHeaders headers = new DefaultHttpHeaders(false);
        headers.set(HttpHeaderNames.CONTENT_TYPE, "text/plain; charset=utf-8");
        if (retryAfterMillis > 0) {
            headers.set(HttpHeaderNames.RETRY_AFTER, mDialect.retryAfter(retryAfterMillis));
        }
        request.connection()
                .respond(
                        request,
                        status,
                        headers,
                        Unpooled.copiedBuffer(reason + "\n", StandardCharsets.UTF_8));
    }
}
