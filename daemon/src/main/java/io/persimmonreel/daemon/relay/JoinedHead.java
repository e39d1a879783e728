package io.persimmonreel.daemon.relay;

import io.netty.handler.codec.http.HttpResponse;
import java.util.Map;
import java.util.regex.Pattern;

/**
 * Detects the head of a response that was cut off and joined with the head of the next response.
 *
 * <p>The status line of the next response then is a part of the reason phrase or of a field value.
 */
final class JoinedHead {
    private static final String PROTOCOL = "HTTP/";
    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/\\d\\.\\d [1-5]\\d\\d( |$)");

    private JoinedHead() {}

    /** Returns whether the head contains the status line of another response. */
    static boolean isIn(final HttpResponse response) {
        if (containsStatusLine(response.status().reasonPhrase())) {
            return true;
        }
        for (final Map.Entry<String, String> field : response.headers()) {
            if (containsStatusLine(field.getValue())) {
                return true;
            }
        }
        return false;
    }

    private static boolean containsStatusLine(final String text) {
        return text.contains(PROTOCOL) && STATUS_LINE.matcher(text).find();
    }
}
