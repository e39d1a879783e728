package io.persimmonreel.cli;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;

/** Holds the values of a subcommand's flags and positional arguments. */
final class FlagValues {
    private final Map<String, Object> mValues;

    FlagValues(final Map<String, Object> values) {
        mValues = Map.copyOf(values);
    }

    /** Returns a value; empty if the flag is optional and was not given. */
    String text(final String name) {
        return String.valueOf(mValues.getOrDefault(name, ""));
    }

    /** Returns a value, or empty if the flag was not given. */
    Optional<String> optional(final String name) {
        return Optional.of(text(name)).filter(value -> !value.isEmpty());
    }

    /** Tells whether a flag that takes no value was given. */
    boolean isSet(final String name) {
        return "true".equals(text(name));
    }

    /** Returns the distinct elements of a comma-separated value. */
    List<String> list(final String name) {
        return Stream.of(text(name).split(","))
                .map(String::strip)
                .filter(element -> !element.isEmpty())
                .distinct()
                .toList();
    }

    /** Returns an integer within inclusive bounds. */
    int integer(final String name, final int minimum, final int maximum) throws BadInputException {
        return (int) decimal(name, minimum, maximum, true);
    }

    /** Returns a decimal number within inclusive bounds. */
    double decimal(final String name, final double minimum, final double maximum)
            throws BadInputException {
        return decimal(name, minimum, maximum, false);
    }

    private double decimal(
            final String name, final double minimum, final double maximum, final boolean isInteger)
            throws BadInputException {
        final double value;
        try {
            value = isInteger ? Integer.parseInt(text(name)) : Double.parseDouble(text(name));
        } catch (final NumberFormatException e) {
            throw new BadInputException("--" + name + ": '" + text(name) + "' is not a number");
        }
        if (!(value >= minimum && value <= maximum)) {
            throw new BadInputException(
                    "--" + name + ": " + text(name) + " is not in " + minimum + ".." + maximum);
        }
        return value;
    }
}
