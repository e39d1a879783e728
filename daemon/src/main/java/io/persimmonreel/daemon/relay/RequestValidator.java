package io.persimmonreel.daemon.relay;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.persimmonreel.core.route.CallerLimits;

/** Refuses request headers that replicas could interpret differently from this daemon. */
final class RequestValidator {
    private static final char DELETE = 0x7f;

    private RequestValidator() {}

    /**
     * Validates the headers of a request.
     *
     * @param request the request without its body
     * @param limits the limits for callers
     * @return the refusal, null if the request is valid
     */
    static RelayRefusal validate(final HttpRequest request, final CallerLimits limits) {
        final HttpHeaders headers = request.headers();
        if (!request.uri().startsWith("/")) {
            return new RelayRefusal(HttpResponseStatus.BAD_REQUEST, "the target is not a path");
        }
        // The codec would write other bytes than it has read.
        if (!request.uri().chars().allMatch(c -> c > ' ' && c < DELETE)) {
            return new RelayRefusal(
                    HttpResponseStatus.BAD_REQUEST, "the target is not percent-encoded");
        }
        if (headers.getAll(HttpHeaderNames.HOST).size() != 1) {
            return new RelayRefusal(HttpResponseStatus.BAD_REQUEST, "one Host is needed");
        }
        // A Content-Length in addition to chunked encoding is accepted: the codec drops it, and
        // bodies are forwarded with a new Content-Length.
        if (headers.getAll(HttpHeaderNames.TRANSFER_ENCODING).size() > 1) {
            return new RelayRefusal(HttpResponseStatus.BAD_REQUEST, "the length is ambiguous");
        }
        final String coding = headers.get(HttpHeaderNames.TRANSFER_ENCODING);
        if (coding != null && !HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(coding.trim())) {
            // The codec would take the body for the next request.
            return new RelayRefusal(
                    HttpResponseStatus.NOT_IMPLEMENTED, "the transfer coding is not supported");
        }
        if (HttpUtil.getContentLength(request, 0L) > limits.bodyBytes()) {
            return new RelayRefusal(
                    HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "the body is too large");
        }
        return null;
    }
}
