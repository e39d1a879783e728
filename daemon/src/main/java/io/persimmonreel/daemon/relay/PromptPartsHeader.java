package io.persimmonreel.daemon.relay;

import io.persimmonreel.core.placement.WorkSize.PromptPart;
import io.persimmonreel.core.replica.Affinity;
import java.util.ArrayList;
import java.util.List;

/** Parses the list of a prompt's parts: comma-separated entries of the form ID:TOKENS, in order. */
public final class PromptPartsHeader {
    private static final int MAXIMUM_PARTS = 64;

    private PromptPartsHeader() {}

    /**
     * Parses a list. Hashes the id of each part also with the ids of all parts before it, since a
     * cached part can only be reused after the same parts.
     *
     * @param value the value of the header field, null if it is missing
     * @return the parts up to the first malformed one, at most 64
     */
    public static List<PromptPart> parse(final String value) {
        final List<PromptPart> parts = new ArrayList<>();
        if (value == null) {
            return parts;
        }
        long prefixHash = 0;
        for (final String element : value.split(",")) {
            final int colon = element.indexOf(':');
            if (colon <= 0 || parts.size() >= MAXIMUM_PARTS) {
                break;
            }
            final long id = Affinity.hash(element.substring(0, colon).trim());
            prefixHash = prefixHash * 31 + id;
            parts.add(new PromptPart(id, prefixHash, parseTokens(element.substring(colon + 1))));
        }
        return parts;
    }

    /** Treats a malformed number as 0, since callers are not trusted. */
    private static int parseTokens(final String text) {
        try {
            final long tokens = Math.round(Double.parseDouble(text.trim()));
            return tokens < 0 || tokens > Integer.MAX_VALUE ? 0 : (int) tokens;
        } catch (final NumberFormatException e) {
            return 0;
        }
    }
}
