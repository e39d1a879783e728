package io.persimmonreel.core.config;

/**
 * Describes one fault of an operator text.
 *
 * @param file the name of the file or other source of the text
 * @param line the line, from 1
 * @param field the path of the field, such as {@code services[2].tier}
 * @param reason what is wrong, one short sentence
 */
public record Finding(String file, int line, String field, String reason) {
    @Override
    public String toString() {
        return file + ":" + line + ": " + field + ": " + reason;
    }
}
