package io.persimmonreel.daemon.relay;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;

/** Lists the ways in which the end of a response's body is shown. */
enum ResponseFraming {
    /** By a declared length. */
    LENGTH("length"),
    /** By the last chunk. */
    CHUNKED("chunked"),
    /** By the end of the connection. */
    CONNECTION_END("connection-end"),
    /** The response has no body, whatever its header fields declare. */
    NONE("none");

    private final String mLabel;

    ResponseFraming(final String label) {
        mLabel = label;
    }

    /** Returns the name in the log. */
    String label() {
        return mLabel;
    }

    /**
     * Returns the framing of a response.
     *
     * @param response the response
     * @param toHeadRequest whether it is the response to a HEAD request
     */
    static ResponseFraming of(final HttpResponse response, final boolean toHeadRequest) {
        if (toHeadRequest || isBodiless(response.status())) {
            return NONE;
        }
        if (HttpUtil.isTransferEncodingChunked(response)) {
            return CHUNKED;
        }
        return response.headers().contains(HttpHeaderNames.CONTENT_LENGTH)
                ? LENGTH
                : CONNECTION_END;
    }

    /** Returns the declared length of a response in bytes, -1 if there is none. */
    static long declaredLength(final HttpResponse response) {
        try {
            return HttpUtil.getContentLength(response, -1L);
        } catch (final NumberFormatException e) {
            return -1;
        }
    }

    private static boolean isBodiless(final HttpResponseStatus status) {
        return status.codeClass() == HttpStatusClass.INFORMATIONAL
                || status.code() == HttpResponseStatus.NO_CONTENT.code()
                || status.code() == HttpResponseStatus.NOT_MODIFIED.code();
    }
}
