package io.persimmonreel.daemon.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;

/**
 * Splits a stream of Server-Sent Events into complete events, so that a stream that breaks inside
 * an event can be resumed after the last complete one. Not thread safe.
 */
public final class EventSplitter {
    private static final byte[] ID_FIELD = "id:".getBytes(StandardCharsets.US_ASCII);

    /**
     * The maximum size of an event; events of replicas are far smaller, so a longer one is
     * malformed.
     */
    private static final int MAXIMUM_EVENT_BYTES = 1 << 20;

    private final ByteBuf mPending = Unpooled.buffer(256);
    private String mLastId;
    private int mEventCount;
    private String mSkipThrough;
    private int mLineStart;
    private int mSearchFrom;

    /**
     * Creates a splitter.
     *
     * @param lastId the id of the last event that was forwarded, null for a new stream
     */
    public EventSplitter(final String lastId) {
        mLastId = lastId;
    }

    /**
     * Prepares for the stream of another replica, which continues after the last complete event.
     *
     * @return the id of that event, null for a stream from the start
     */
    public String restart() {
        mPending.clear();
        mLineStart = 0;
        mSearchFrom = 0;
        mSkipThrough = mLastId;
        return mLastId;
    }

    /**
     * Adds bytes and returns the events that they complete.
     *
     * @param bytes the next bytes, which are read but not released
     * @return complete events, or an empty buffer
     * @throws EventTooLongException if an event is too long
     */
    public ByteBuf split(final ByteBuf bytes) throws EventTooLongException {
        if (mPending.readableBytes() + bytes.readableBytes() > MAXIMUM_EVENT_BYTES) {
            throw new EventTooLongException("an event exceeds " + MAXIMUM_EVENT_BYTES + " bytes");
        }
        mPending.writeBytes(bytes);
        int end = endOfEvent();
        if (end < 0) {
            return Unpooled.EMPTY_BUFFER;
        }
        final ByteBuf completeEvents = Unpooled.buffer(mPending.readableBytes());
        while (end >= 0) {
            final int start = mPending.readerIndex();
            final String id = idOf(mPending, start, end);
            if (!isRepeated(id)) {
                completeEvents.writeBytes(mPending, start, end - start);
                mEventCount += hasField(mPending, start, end) ? 1 : 0;
                if (id != null) {
                    mLastId = id;
                }
            }
            mPending.readerIndex(end);
            end = endOfEvent();
        }
        mLineStart -= mPending.readerIndex();
        mSearchFrom -= mPending.readerIndex();
        mPending.discardReadBytes();
        return completeEvents;
    }

    /**
     * Returns whether bytes of an incomplete event are buffered.
     *
     * @return true inside an event
     */
    public boolean hasPartialEvent() {
        return mPending.isReadable();
    }

    /**
     * Returns the id of the last complete event.
     *
     * @return the id, the one given at creation if there was no event yet, or null
     */
    public String lastId() {
        return mLastId;
    }

    /**
     * Returns the number of complete events with a field, without repeated ones.
     *
     * @return the events
     */
    public int eventCount() {
        return mEventCount;
    }

    /**
     * Returns whether an event was already forwarded: a replica that resumes too early repeats
     * events that the caller has received.
     */
    private boolean isRepeated(final String id) {
        if (mSkipThrough == null || id == null) {
            return false;
        }
        try {
            return Long.parseLong(id) <= Long.parseLong(mSkipThrough);
        } catch (final NumberFormatException e) {
            return id.equals(mSkipThrough);
        }
    }

    /**
     * Returns the index after the blank line that ends the next event, or -1 if no event is
     * complete. Bytes that were searched before are not searched again, since an event may arrive
     * in very small parts.
     */
    private int endOfEvent() {
        int lineEnd = mPending.indexOf(mSearchFrom, mPending.writerIndex(), (byte) '\n');
        while (lineEnd >= 0) {
            final boolean blank = isBlank(mPending, mLineStart, lineEnd);
            mLineStart = lineEnd + 1;
            mSearchFrom = mLineStart;
            if (blank) {
                return mLineStart;
            }
            lineEnd = mPending.indexOf(mSearchFrom, mPending.writerIndex(), (byte) '\n');
        }
        mSearchFrom = mPending.writerIndex();
        return -1;
    }

    private static boolean isBlank(final ByteBuf buffer, final int lineStart, final int lineEnd) {
        return lineEnd == lineStart
                || lineEnd == lineStart + 1 && buffer.getByte(lineStart) == '\r';
    }

    /** Returns whether an event has a field; empty lines and comments only show a connection. */
    private static boolean hasField(final ByteBuf buffer, final int start, final int end) {
        int lineStart = start;
        while (lineStart < end) {
            final int lineEnd = buffer.indexOf(lineStart, end, (byte) '\n');
            if (!isBlank(buffer, lineStart, lineEnd) && buffer.getByte(lineStart) != ':') {
                return true;
            }
            lineStart = lineEnd + 1;
        }
        return false;
    }

    private static String idOf(final ByteBuf buffer, final int start, final int end) {
        int lineStart = start;
        while (lineStart < end) {
            final int lineEnd = buffer.indexOf(lineStart, end, (byte) '\n');
            if (startsWithId(buffer, lineStart, lineEnd)) {
                final int from = lineStart + ID_FIELD.length;
                return buffer.toString(from, lineEnd - from, StandardCharsets.US_ASCII).trim();
            }
            lineStart = lineEnd + 1;
        }
        return null;
    }

    private static boolean startsWithId(final ByteBuf buffer, final int from, final int to) {
        if (to - from < ID_FIELD.length) {
            return false;
        }
        for (int i = 0; i < ID_FIELD.length; i++) {
            if (buffer.getByte(from + i) != ID_FIELD[i]) {
                return false;
            }
        }
        return true;
    }
}
