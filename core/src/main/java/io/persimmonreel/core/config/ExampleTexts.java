package io.persimmonreel.core.config;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;

/** Loads example operator texts from the class path. */
public final class ExampleTexts {
    /** The names of the examples. */
    public static final List<String> NAMES = List.of("saaf-paws", "song-hong");

    private ExampleTexts() {}

    /**
     * Loads an example.
     *
     * @param name one of {@link #NAMES}
     * @return the operator text
     * @throws IOException if there is no such example or it can't be read
     */
    public static String load(final String name) throws IOException {
        try (InputStream in = ExampleTexts.class.getResourceAsStream(name + ".yaml")) {
            if (in == null) {
                throw new IOException("config: no example operator text named " + name);
            }
            return new String(in.readAllBytes(), StandardCharsets.UTF_8);
        }
    }
}
