package io.persimmonreel.core.config;

import io.persimmonreel.core.config.LocatedNode.Field;
import io.persimmonreel.core.config.LocatedNode.Kind;
import java.math.BigDecimal;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Reads the fields of one section, which is an object in the operator text. For a field that is
 * missing or not valid, it reports a finding and returns a placeholder, so that the check goes on.
 * Placeholders never reach a configuration, because any finding rejects the text.
 */
final class SectionReader {
    private static final Pattern ID = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]*");
    private static final Pattern VISIBLE = Pattern.compile("[\\x21-\\x7e]+");
    private static final Pattern INTEGER = Pattern.compile("-?[0-9]{1,18}");
    private static final Pattern DECIMAL = Pattern.compile("-?[0-9]{1,15}(\\.[0-9]{1,15})?");
    private static final Pattern DURATION = Pattern.compile("([0-9]{1,9})(ms|s|m|h)");

    private final Findings mFindings;
    private final String mPath;
    private final LocatedNode mNode;
    private final Set<String> mKnownFields = new HashSet<>();

    SectionReader(final Findings findings, final String path, final LocatedNode node) {
        mFindings = findings;
        mPath = path;
        mNode = node;
        if (node.kind() != Kind.OBJECT && node.kind() != Kind.REPORTED) {
            findings.add(node.line(), path, "must be an object, but is " + node.kind().label());
        }
    }

    /** Reports a finding about a field of this section. */
    void report(final String name, final String reason) {
        mFindings.add(line(name), path(name), reason);
    }

    /** Reports a finding about a list item of this section, at the item's own line. */
    void reportItem(final String name, final int index, final String reason) {
        final List<LocatedNode> items = mNode.fields().get(name).value().items();
        mFindings.add(items.get(index).line(), path(name) + "[" + index + "]", reason);
    }

    /** Returns the line of a field's value, or of the section if the field is missing. */
    int line(final String name) {
        final Field field = mNode.fields().get(name);
        return field == null ? mNode.line() : field.value().line();
    }

    boolean has(final String name) {
        return mNode.fields().containsKey(name);
    }

    /** Reports every field that no method of this reader was asked for. */
    void reportUnknownKeys() {
        mNode.fields()
                .forEach(
                        (name, field) -> {
                            if (!mKnownFields.contains(name)) {
                                mFindings.add(field.line(), path(name), "is an unknown key");
                            }
                        });
    }

    String id(final String name) {
        return text(name, ID, ConfigurationLimits.MAXIMUM_ID_CHARACTERS, "an id");
    }

    String visibleText(final String name) {
        return text(
                name, VISIBLE, ConfigurationLimits.MAXIMUM_STRING_CHARACTERS, "visible characters");
    }

    String visibleTextOr(final String name, final String fallback) {
        return isAbsent(name) ? fallback : visibleText(name);
    }

    private String text(
            final String name, final Pattern pattern, final int maximum, final String wanted) {
        return value(name, Kind.TEXT)
                .map(node -> checkedText(node, path(name), pattern, maximum, wanted))
                .orElse("");
    }

    private String checkedText(
            final LocatedNode node,
            final String path,
            final Pattern pattern,
            final int maximum,
            final String wanted) {
        if (node.text().length() > maximum) {
            mFindings.add(node.line(), path, "is longer than " + maximum + " characters");
        } else if (!pattern.matcher(node.text()).matches()) {
            mFindings.add(node.line(), path, "is not " + wanted);
        }
        return node.text();
    }

    /** Reads a text that {@code finder} turns into one of the values that {@code wanted} lists. */
    <T> Optional<T> choice(
            final String name, final Function<String, Optional<T>> finder, final String wanted) {
        final Optional<LocatedNode> node = value(name, Kind.TEXT);
        final Optional<T> found = node.flatMap(n -> finder.apply(n.text()));
        if (node.isPresent() && found.isEmpty()) {
            report(name, "must be " + wanted);
        }
        return found;
    }

    boolean flag(final String name) {
        return value(name, Kind.BOOLEAN).map(node -> "true".equals(node.text())).orElse(false);
    }

    boolean flagOr(final String name, final boolean fallback) {
        return isAbsent(name) ? fallback : flag(name);
    }

    int integer(final String name, final int minimum, final int maximum) {
        final Optional<LocatedNode> node = value(name, Kind.NUMBER);
        if (node.isEmpty()) {
            return minimum;
        }
        if (!INTEGER.matcher(node.get().text()).matches()) {
            report(name, "must be a whole number from " + minimum + " to " + maximum);
            return minimum;
        }
        final long value = Long.parseLong(node.get().text());
        if (value < minimum || value > maximum) {
            report(name, "must be from " + minimum + " to " + maximum);
            return minimum;
        }
        return (int) value;
    }

    int integerOr(final String name, final int minimum, final int maximum, final int fallback) {
        return isAbsent(name) ? fallback : integer(name, minimum, maximum);
    }

    /** Reads a number above {@code minimum} and up to {@code maximum}. */
    double decimal(final String name, final double minimum, final double maximum) {
        final Optional<LocatedNode> node = value(name, Kind.NUMBER);
        if (node.isEmpty()) {
            return maximum;
        }
        final String text = node.get().text();
        final double value =
                DECIMAL.matcher(text).matches() ? Double.parseDouble(text) : Double.NaN;
        if (!(value > minimum && value <= maximum)) {
            report(
                    name,
                    "must be a number above " + plain(minimum) + " and at most " + plain(maximum));
            return maximum;
        }
        return value;
    }

    private static String plain(final double value) {
        return BigDecimal.valueOf(value).stripTrailingZeros().toPlainString();
    }

    Duration duration(final String name, final long minimumMillis, final long maximumMillis) {
        final Duration minimum = Duration.ofMillis(minimumMillis);
        final Optional<LocatedNode> node = value(name, Kind.TEXT);
        if (node.isEmpty()) {
            return minimum;
        }
        final Optional<Duration> parsed = parseDuration(node.get().text());
        if (parsed.isEmpty()) {
            report(name, "is not a duration such as 500ms, 8s or 10m");
            return minimum;
        }
        final long millis = parsed.get().toMillis();
        if (millis < minimumMillis || millis > maximumMillis) {
            report(name, "must be from " + minimumMillis + "ms to " + maximumMillis + "ms");
            return minimum;
        }
        return parsed.get();
    }

    static Optional<Duration> parseDuration(final String text) {
        final Matcher matcher = DURATION.matcher(text);
        if (!matcher.matches()) {
            return Optional.empty();
        }
        final long count = Long.parseLong(matcher.group(1));
        return Optional.of(
                switch (matcher.group(2)) {
                    case "ms" -> Duration.ofMillis(count);
                    case "s" -> Duration.ofSeconds(count);
                    case "m" -> Duration.ofMinutes(count);
                    default -> Duration.ofHours(count);
                });
    }

    /** Reads a list of ids, in which no id may occur twice. */
    List<String> ids(final String name, final int minimum, final int maximum) {
        final List<String> ids = new ArrayList<>();
        final Set<String> seen = new HashSet<>();
        for (final LocatedNode item : items(name, minimum, maximum)) {
            final String path = path(name) + "[" + ids.size() + "]";
            if (isKind(item, Kind.TEXT, path)) {
                checkedText(item, path, ID, ConfigurationLimits.MAXIMUM_ID_CHARACTERS, "an id");
                if (!seen.add(item.text())) {
                    mFindings.add(item.line(), path, "is a duplicate id: " + item.text());
                }
            }
            ids.add(item.text());
        }
        return ids;
    }

    /** Reads a list of texts that the caller checks; items of other kinds are reported. */
    List<String> texts(final String name, final int minimum, final int maximum) {
        final List<String> texts = new ArrayList<>();
        for (final LocatedNode item : items(name, minimum, maximum)) {
            isKind(item, Kind.TEXT, path(name) + "[" + texts.size() + "]");
            texts.add(item.text());
        }
        return texts;
    }

    List<SectionReader> sections(final String name, final int minimum, final int maximum) {
        final List<SectionReader> sections = new ArrayList<>();
        for (final LocatedNode item : items(name, minimum, maximum)) {
            sections.add(
                    new SectionReader(mFindings, path(name) + "[" + sections.size() + "]", item));
        }
        return sections;
    }

    Optional<SectionReader> section(final String name) {
        return value(name, Kind.OBJECT).map(n -> new SectionReader(mFindings, path(name), n));
    }

    private List<LocatedNode> items(final String name, final int minimum, final int maximum) {
        final Optional<LocatedNode> list = value(name, Kind.LIST);
        if (list.isEmpty()) {
            return List.of();
        }
        final List<LocatedNode> items = list.get().items();
        if (items.size() < minimum || items.size() > maximum) {
            report(name, "must have from " + minimum + " to " + maximum + " entries");
        }
        return items;
    }

    /** Tells whether a field is absent, and marks it as known. */
    private boolean isAbsent(final String name) {
        mKnownFields.add(name);
        return !has(name);
    }

    /** Returns a field's value; reports it if it is missing or of another kind. */
    private Optional<LocatedNode> value(final String name, final Kind kind) {
        if (isAbsent(name)) {
            if (mNode.kind() == Kind.OBJECT) {
                mFindings.add(mNode.line(), path(name), "is missing");
            }
            return Optional.empty();
        }
        final LocatedNode node = mNode.fields().get(name).value();
        return isKind(node, kind, path(name)) ? Optional.of(node) : Optional.empty();
    }

    /** Tells whether a node has a kind, and reports one of another kind. */
    private boolean isKind(final LocatedNode node, final Kind kind, final String path) {
        if (node.kind() != kind && node.kind() != Kind.REPORTED) {
            mFindings.add(
                    node.line(),
                    path,
                    "must be " + kind.label() + ", but is " + node.kind().label());
        }
        return node.kind() == kind;
    }

    private String path(final String name) {
        return mPath.isEmpty() ? name : mPath + "." + name;
    }
}
