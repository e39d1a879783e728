package io.persimmonreel.daemon.relay;

import io.netty.handler.codec.http.HttpResponse;
import java.util.Iterator;
import java.util.Map;
import java.util.regex.Pattern;

/** Recognizes heads of responses that are not the head of a single response. */
final class ResponseHeads {
    private static final String VERSION = "HTTP/1.";

    /** The version and the status code with which the head of a response begins. */
    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.[0-9] [0-9]{3}(?![0-9])");

    private ResponseHeads() {}

    /**
     * Returns whether the head of a response follows a part of another head. The decoder can't tell
     * if the part ends in the reason phrase or in the value of a field: it takes the status and the
     * first fields from the part and the rest from the response.
     */
    static boolean followsPartOfAnother(final HttpResponse response) {
        if (containsStatusLine(response.status().reasonPhrase())) {
            return true;
        }
        final Iterator<Map.Entry<CharSequence, CharSequence>> fields =
                response.headers().iteratorCharSequence();
        while (fields.hasNext()) {
            if (containsStatusLine(fields.next().getValue().toString())) {
                return true;
            }
        }
        return false;
    }

    private static boolean containsStatusLine(final String text) {
        return text.contains(VERSION) && STATUS_LINE.matcher(text).find();
    }
}
