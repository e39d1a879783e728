package io.persimmonreel.daemon.relay;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;

/** Reads header fields that may occur once. */
public final class HeaderFields {
    private HeaderFields() {}

    /**
     * Returns the value of a field that occurs exactly once.
     *
     * @param headers the header fields
     * @param name the name of the field
     * @return the value, null if the field is missing or occurs more than once
     */
    public static String single(final HttpHeaders headers, final String name) {
        final List<String> values = headers.getAll(name);
        return values.size() == 1 ? values.get(0) : null;
    }
}
