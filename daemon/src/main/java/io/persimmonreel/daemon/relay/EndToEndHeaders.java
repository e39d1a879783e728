package io.persimmonreel.daemon.relay;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;

/** Removes hop-by-hop header fields, which apply to a single connection only. */
final class EndToEndHeaders {
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

    private EndToEndHeaders() {}

    /**
     * Copies the end-to-end header fields.
     *
     * @param headers all header fields
     * @return a copy without the hop-by-hop fields
     */
    static HttpHeaders copy(final HttpHeaders headers) {
        final HttpHeaders copy = new DefaultHttpHeaders(false);
        copy.set(headers);
        for (final String value : headers.getAll(HttpHeaderNames.CONNECTION)) {
            for (final String token : value.split(",")) {
                copy.remove(token.trim());
            }
        }
        HOP_BY_HOP.forEach(copy::remove);
        return copy;
    }
}
