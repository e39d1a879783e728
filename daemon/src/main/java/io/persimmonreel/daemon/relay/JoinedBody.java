package io.persimmonreel.daemon.relay;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.search.AbstractSearchProcessorFactory;
import io.netty.buffer.search.SearchProcessor;
import java.nio.charset.StandardCharsets;

/**
 * Detects the body of a response that was cut off and filled up with the head of the next response.
 *
 * <p>The declared length then takes the bytes of the next response for the rest of the body. A body
 * that shows a status line alone may well be text about HTTP, so the field with the attempt id must
 * follow, which the text of a body has no reason to contain. Not thread safe.
 */
final class JoinedBody {
    private final SearchProcessor mStatusLine = processor("HTTP/1.");
    private final SearchProcessor mAttemptField;
    private boolean mHasStatusLine;

    /**
     * Creates the detection for the responses on one connection.
     *
     * @param attemptField the name of the header field with the attempt id
     */
    JoinedBody(final String attemptField) {
        mAttemptField = processor("\r\n" + attemptField + ":");
    }

    /** Begins the body of the next response. */
    void begin() {
        mStatusLine.reset();
        mAttemptField.reset();
        mHasStatusLine = false;
    }

    /** Returns whether the body, with its next bytes, contains the head of another response. */
    boolean isJoinedBy(final ByteBuf bytes) {
        int from = bytes.readerIndex();
        if (!mHasStatusLine) {
            final int end = bytes.forEachByte(mStatusLine);
            if (end < 0) {
                return false;
            }
            mHasStatusLine = true;
            from = end + 1;
        }
        return bytes.forEachByte(from, bytes.writerIndex() - from, mAttemptField) >= 0;
    }

    /**
     * Returns whether the bytes after the body continue the head of another response in the body. A
     * response that begins after a whole body is not a part of it.
     */
    boolean isContinuedBy(final ByteBuf bytes) {
        return mHasStatusLine && bytes.forEachByte(mAttemptField) >= 0;
    }

    private static SearchProcessor processor(final String text) {
        return AbstractSearchProcessorFactory.newKmpSearchProcessorFactory(
                        text.getBytes(StandardCharsets.US_ASCII))
                .newSearchProcessor();
    }
}
