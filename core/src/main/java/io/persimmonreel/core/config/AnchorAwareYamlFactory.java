package io.persimmonreel.core.config;

import com.fasterxml.jackson.core.ObjectCodec;
import com.fasterxml.jackson.core.io.IOContext;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;
import com.fasterxml.jackson.dataformat.yaml.YAMLParser;
import java.io.IOException;
import java.io.Reader;
import java.io.StringReader;
import org.yaml.snakeyaml.LoaderOptions;
import org.yaml.snakeyaml.events.NodeEvent;

/** Creates YAML parsers that report the anchors of scalars, which Jackson's own parser drops. */
final class AnchorAwareYamlFactory extends YAMLFactory {
    private static final long serialVersionUID = 1L;

    /**
     * Creates a parser of a text.
     *
     * @param text the text
     * @return the parser
     * @throws IOException if the parser can't be created
     */
    AnchorAwareParser createAnchorAwareParser(final String text) throws IOException {
        final Reader reader = new StringReader(text);
        return _createParser(reader, _createContext(_createContentReference(text), true));
    }

    @Override
    protected AnchorAwareParser _createParser(final Reader reader, final IOContext context)
            throws IOException {
        return new AnchorAwareParser(
                context,
                _parserFeatures,
                _yamlParserFeatures,
                _loaderOptions,
                _objectCodec,
                reader);
    }

    /** Parses YAML and tells which keys and values have an anchor. */
    static final class AnchorAwareParser extends YAMLParser {
        AnchorAwareParser(
                final IOContext context,
                final int parserFeatures,
                final int formatFeatures,
                final LoaderOptions loaderOptions,
                final ObjectCodec codec,
                final Reader reader) {
            super(context, parserFeatures, formatFeatures, loaderOptions, codec, reader);
        }

        /** Tells whether the current key or value has an anchor of its own. */
        boolean hasAnchor() {
            return _lastEvent instanceof NodeEvent node && node.getAnchor() != null;
        }
    }
}
