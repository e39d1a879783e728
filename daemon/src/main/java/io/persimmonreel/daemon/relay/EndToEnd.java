package io.persimmonreel.daemon.relay;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;

/** Leaves out header fields that concern only one connection. */
final class EndToEnd {
    private static final List<CharSequence> HOP_BY_HOP =
            List.of(
                    HttpHeaderNames.CONNECTION,
                    HttpHeaderNames.TRANSFER_ENCODING,
                    HttpHeaderNames.TE,
                    HttpHeaderNames.TRAILER,
                    HttpHeaderNames.UPGRADE,
                    HttpHeaderNames.PROXY_AUTHENTICATE,
                    HttpHeaderNames.PROXY_AUTHORIZATION,
                    HttpHeaderNames.EXPECT,
                    "keep-alive",
                    "proxy-connection");

    private EndToEnd() {}

    /**
     * Copies the end-to-end fields.
     *
     * @param headers all fields
     * @return a copy without the fields of the connection
     */
    static HttpHeaders copy(final HttpHeaders headers) {
        final HttpHeaders copy = new DefaultHttpHeaders(false);
        copy.set(headers);
        for (final String named : headers.getAll(HttpHeaderNames.CONNECTION)) {
            for (final String token : named.split(",")) {
                copy.remove(token.trim());
            }
        }
        HOP_BY_HOP.forEach(copy::remove);
        return copy;
    }
}
