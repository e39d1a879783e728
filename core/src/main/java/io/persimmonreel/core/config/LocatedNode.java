package io.persimmonreel.core.config;

import java.util.List;
import java.util.Map;

/**
 * Holds one node of a parsed operator text with its line.
 *
 * @param kind the kind of the node
 * @param line the line on which the node starts, from 1
 * @param text the characters of a scalar, else empty
 * @param fields the fields of an object in the order of the text, else empty
 * @param items the items of a list, else empty
 */
record LocatedNode(
        Kind kind, int line, String text, Map<String, Field> fields, List<LocatedNode> items) {
    /** Lists the kinds of nodes, with the labels used in findings. */
    enum Kind {
        OBJECT("an object"),
        LIST("a list"),
        TEXT("a text"),
        NUMBER("a number"),
        BOOLEAN("true or false"),
        EMPTY("empty"),
        /** A node that was reported already, such as an alias; further checks skip it. */
        REPORTED("not readable");

        private final String mLabel;

        Kind(final String label) {
            mLabel = label;
        }

        String label() {
            return mLabel;
        }
    }

    /**
     * Holds one field of an object.
     *
     * @param line the line of the key
     * @param value the value
     */
    record Field(int line, LocatedNode value) {}

    static LocatedNode scalar(final Kind kind, final int line, final String text) {
        return new LocatedNode(kind, line, text, Map.of(), List.of());
    }
}
