package io.persimmonreel.core.config;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import io.persimmonreel.core.config.AnchorAwareYamlFactory.AnchorAwareParser;
import io.persimmonreel.core.config.LocatedNode.Field;
import io.persimmonreel.core.config.LocatedNode.Kind;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Reads a YAML text into a tree of nodes with their lines. Aliases, anchors, tags, duplicate keys
 * and deep nesting are reported as findings.
 */
final class LocatedTreeReader {
    private static final AnchorAwareYamlFactory FACTORY = new AnchorAwareYamlFactory();

    private final AnchorAwareParser mParser;
    private final Findings mFindings;

    private LocatedTreeReader(final AnchorAwareParser parser, final Findings findings) {
        mParser = parser;
        mFindings = findings;
    }

    /**
     * Reads a text.
     *
     * @param text the text
     * @param findings receives the findings
     * @return the root, or empty if the text can't be read
     */
    static Optional<LocatedNode> read(final String text, final Findings findings) {
        try (AnchorAwareParser parser = FACTORY.createAnchorAwareParser(text)) {
            return new LocatedTreeReader(parser, findings).readDocument();
        } catch (final JsonProcessingException e) {
            final int line = e.getLocation() == null ? 1 : e.getLocation().getLineNr();
            findings.add(line, "text", "is not readable YAML: " + firstLine(e));
            return Optional.empty();
        } catch (final IOException e) {
            findings.add(1, "text", "is not readable YAML: " + e.getMessage());
            return Optional.empty();
        }
    }

    private static String firstLine(final JsonProcessingException e) {
        final String message = String.valueOf(e.getOriginalMessage());
        return message.lines().findFirst().orElse("syntax error");
    }

    private Optional<LocatedNode> readDocument() throws IOException {
        if (mParser.nextToken() == null) {
            mFindings.add(1, "text", "is empty");
            return Optional.empty();
        }
        final Optional<LocatedNode> root = Optional.ofNullable(readNode("", 0));
        if (root.isPresent() && mParser.nextToken() != null) {
            mFindings.add(line(), "text", "has more than one document");
        }
        return root;
    }

    /** Reads a node; null ends the reading, because the text is nested too deeply. */
    private LocatedNode readNode(final String path, final int depth) throws IOException {
        final int line = line();
        if (depth > ConfigurationLimits.MAXIMUM_NESTING_DEPTH) {
            mFindings.add(
                    line,
                    path,
                    "is nested deeper than " + ConfigurationLimits.MAXIMUM_NESTING_DEPTH);
            return null;
        }
        if (mParser.isCurrentAlias()) {
            mFindings.add(line, path, "is an alias; aliases are not allowed");
            return LocatedNode.scalar(Kind.REPORTED, line, "");
        }
        reportAnchor(path);
        reportTag(path);
        final JsonToken token = mParser.currentToken();
        return switch (token) {
            case START_OBJECT -> readObject(path, depth, line);
            case START_ARRAY -> readList(path, depth, line);
            case VALUE_NUMBER_INT, VALUE_NUMBER_FLOAT ->
                    LocatedNode.scalar(Kind.NUMBER, line, mParser.getText());
            case VALUE_TRUE, VALUE_FALSE ->
                    LocatedNode.scalar(Kind.BOOLEAN, line, mParser.getText());
            case VALUE_NULL -> LocatedNode.scalar(Kind.EMPTY, line, "");
            default -> LocatedNode.scalar(Kind.TEXT, line, String.valueOf(mParser.getText()));
        };
    }

    private LocatedNode readObject(final String path, final int depth, final int line)
            throws IOException {
        final Map<String, Field> fields = new LinkedHashMap<>();
        while (mParser.nextToken() != JsonToken.END_OBJECT) {
            final String key = mParser.currentName();
            final int keyLine = line();
            final String fieldPath = path.isEmpty() ? key : path + "." + key;
            reportAnchor(fieldPath);
            mParser.nextToken();
            final LocatedNode value = readNode(fieldPath, depth + 1);
            if (value == null) {
                return null;
            }
            final Field first = fields.putIfAbsent(key, new Field(keyLine, value));
            if (first != null) {
                mFindings.add(
                        keyLine, fieldPath, "is a duplicate key, first at line " + first.line());
            }
        }
        return new LocatedNode(Kind.OBJECT, line, "", fields, List.of());
    }

    private LocatedNode readList(final String path, final int depth, final int line)
            throws IOException {
        final List<LocatedNode> items = new ArrayList<>();
        while (mParser.nextToken() != JsonToken.END_ARRAY) {
            final LocatedNode item = readNode(path + "[" + items.size() + "]", depth + 1);
            if (item == null) {
                return null;
            }
            items.add(item);
        }
        return new LocatedNode(Kind.LIST, line, "", Map.of(), items);
    }

    private void reportAnchor(final String path) {
        if (mParser.hasAnchor()) {
            mFindings.add(line(), path, "has an anchor; anchors are not allowed");
        }
    }

    private void reportTag(final String path) throws IOException {
        if (mParser.getTypeId() != null) {
            mFindings.add(line(), path, "has a tag; tags are not allowed");
        }
    }

    private int line() {
        return mParser.currentTokenLocation().getLineNr();
    }
}
