package io.persimmonreel.cli;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;

/** Supplies the operator text of the demonstration. */
final class DemoOperatorText {
    private static final String RESOURCE = "/examples/saaf-paws.yaml";

    private DemoOperatorText() {}

    /**
     * Returns the embedded text, adapted to a fleet that runs in one process.
     *
     * @param daemons the number of daemons
     * @return the operator text
     * @throws IOException if the text is not embedded or lacks a field to adapt
     */
    static String read(final int daemons) throws IOException {
        final String text;
        try (InputStream in = DemoOperatorText.class.getResourceAsStream(RESOURCE)) {
            if (in == null) {
                throw new IOException("demo: " + RESOURCE + " is not embedded");
            }
            text = new String(in.readAllBytes(), StandardCharsets.UTF_8);
        }
        // A majority of the declared daemons must confirm that a key is new.
        final String fleet = replace(text, "maximumDaemons: 7", "maximumDaemons: " + daemons);
        // All daemons and callers read the same clock here.
        final String clock = replace(fleet, "clockSkew: 2s", "clockSkew: 200ms");
        // The plain services run a repeated key again, so that a second run would be detected.
        return replace(clock, "checksKeys: true", "checksKeys: false");
    }

    private static String replace(final String text, final String from, final String to)
            throws IOException {
        if (!text.contains(from)) {
            throw new IOException("demo: the embedded text has no '" + from + "'");
        }
        return text.replace(from, to);
    }
}
