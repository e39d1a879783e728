package io.persimmonreel.daemon.upstream;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/** Parses a byte stream of server-sent events. Not thread safe. */
final class ServerSentEventParser {
    /** Limits the memory that a malformed stream can take; a token event is far smaller. */
    static final int MAXIMUM_EVENT_BYTES = 256 * 1024;

    /** Handles the parsed events. */
    @FunctionalInterface
    interface Handler {
        /**
         * Handles one event.
         *
         * @param name the event's name, empty if it has none
         * @param data the event's data
         * @throws UpstreamException if the event is invalid in its stream
         */
        void onEvent(String name, String data) throws UpstreamException;
    }

    private final Handler mHandler;
    private final ByteArrayOutputStream mLine = new ByteArrayOutputStream();
    private final StringBuilder mData = new StringBuilder();
    private String mName = "";
    private boolean mHasData;

    ServerSentEventParser(final Handler handler) {
        mHandler = handler;
    }

    /**
     * Parses the next bytes of the stream and passes each complete event to the handler.
     *
     * @param bytes the bytes
     * @return false if an event is longer than {@link #MAXIMUM_EVENT_BYTES}
     * @throws UpstreamException if the handler rejects an event
     */
    boolean parse(final ByteBuffer bytes) throws UpstreamException {
        while (bytes.hasRemaining()) {
            final byte next = bytes.get();
            if (next == '\n') {
                final String line = mLine.toString(StandardCharsets.UTF_8);
                mLine.reset();
                onLine(line.endsWith("\r") ? line.substring(0, line.length() - 1) : line);
            } else {
                mLine.write(next);
            }
            if (mLine.size() + mData.length() > MAXIMUM_EVENT_BYTES) {
                return false;
            }
        }
        return true;
    }

    private void onLine(final String line) throws UpstreamException {
        if (line.isEmpty()) {
            if (mHasData) {
                final String name = mName;
                final String data = mData.toString();
                mName = "";
                mData.setLength(0);
                mHasData = false;
                mHandler.onEvent(name, data);
            }
        } else if (line.startsWith("event:")) {
            mName = line.substring("event:".length()).trim();
        } else if (line.startsWith("data:")) {
            if (mHasData) {
                mData.append('\n');
            }
            mData.append(line.substring("data:".length()).stripLeading());
            mHasData = true;
        }
    }
}
