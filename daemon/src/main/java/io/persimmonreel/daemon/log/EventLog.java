package io.persimmonreel.daemon.log;

import io.persimmonreel.core.time.TimeSource;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Writes one JSON object a line for each decision, from a thread of its own.
 *
 * <p>Lines wait in a bounded queue; lines that do not fit are counted and the count is written with
 * the next line. Routine lines are limited by rate, all others are written while there is room. No
 * caller ever blocks.
 */
public final class EventLog implements AutoCloseable {
    /** Lines that may wait; at 300 bytes each they take about 1.2 MB. */
    private static final int QUEUE_LINES = 4_096;

    /** Routine lines in one second; further ones are counted. */
    private static final int ROUTINE_PER_SECOND = 200;

    /** The writer collects lines for this time in milliseconds, since each wake-up costs. */
    private static final long COLLECT_MILLIS = 100;

    private static final long NANOS_PER_SECOND = 1_000_000_000L;
    private static final int BATCH_CHARS = 32_768;

    private final ArrayBlockingQueue<String> mLines = new ArrayBlockingQueue<>(QUEUE_LINES);
    private final AtomicLong mDropped = new AtomicLong();
    private final AtomicLong mSuppressed = new AtomicLong();
    private final AtomicBoolean mClosed = new AtomicBoolean();
    private final TimeSource mTime;
    private final String mNode;
    private final PrintStream mOut;
    private final Thread mWriter;
    private long mWindowNanos;
    private int mInWindow;

    /**
     * Creates a log and starts its thread.
     *
     * @param node the name of this daemon
     * @param time the clock
     * @param out where lines go
     */
    public EventLog(final String node, final TimeSource time, final PrintStream out) {
        mNode = node;
        mTime = time;
        mOut = out;
        mWriter = new Thread(this::writeLines, "event-log");
        mWriter.setDaemon(true);
        mWriter.start();
    }

    /**
     * Starts a line that is always written while there is room.
     *
     * @param part the part of the daemon
     * @param event what happened, one or two words
     * @return the line
     */
    public Line event(final String part, final String event) {
        return new Line(this, part, event, false);
    }

    /**
     * Starts a line about the usual course of a request, which is limited by rate.
     *
     * @param part the part of the daemon
     * @param event what happened, one or two words
     * @return the line
     */
    public Line routine(final String part, final String event) {
        return new Line(this, part, event, true);
    }

    /** Writes what waits and ends the thread. */
    @Override
    public void close() {
        mClosed.set(true);
        mWriter.interrupt();
        try {
            mWriter.join(COLLECT_MILLIS * 2);
        } catch (final InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Builds one line. Values of a line are escaped; its names are constants. */
    public static final class Line {
        private final EventLog mLog;
        private final boolean mRoutine;
        private final StringBuilder mText = new StringBuilder(256);

        private Line(
                final EventLog log, final String part, final String event, final boolean routine) {
            mLog = log;
            mRoutine = routine;
            put("ts", log.mTime.wallMillis());
            put("node", log.mNode);
            put("part", part);
            put("event", event);
        }

        /**
         * Adds a text.
         *
         * @param name the field's name
         * @param value the value, null is left out
         * @return this line
         */
        public Line put(final String name, final String value) {
            if (value != null) {
                name(name);
                mText.append('"');
                escape(value);
                mText.append('"');
            }
            return this;
        }

        /**
         * Adds a whole number.
         *
         * @param name the field's name
         * @param value the value
         * @return this line
         */
        public Line put(final String name, final long value) {
            name(name);
            mText.append(value);
            return this;
        }

        /**
         * Adds a truth value.
         *
         * @param name the field's name
         * @param value the value
         * @return this line
         */
        public Line put(final String name, final boolean value) {
            name(name);
            mText.append(value);
            return this;
        }

        /** Hands the line to the writer. */
        public void write() {
            mLog.offer(this);
        }

        private void name(final String name) {
            mText.append(mText.length() == 0 ? "{\"" : ",\"").append(name).append("\":");
        }

        private void escape(final String value) {
            for (int i = 0; i < value.length(); i++) {
                final char c = value.charAt(i);
                if (c == '"' || c == '\\') {
                    mText.append('\\').append(c);
                } else if (c < ' ') {
                    mText.append(' ');
                } else {
                    mText.append(c);
                }
            }
        }
    }

    private void offer(final Line line) {
        if (line.mRoutine && !mayWriteRoutine()) {
            mSuppressed.incrementAndGet();
            return;
        }
        final long dropped = mDropped.getAndSet(0);
        if (dropped > 0) {
            line.put("dropped", dropped);
        }
        final long suppressed = mSuppressed.getAndSet(0);
        if (suppressed > 0) {
            line.put("suppressed", suppressed);
        }
        if (!mLines.offer(line.mText.append("}\n").toString())) {
            mDropped.addAndGet(dropped + 1);
            mSuppressed.addAndGet(suppressed);
        }
    }

    private synchronized boolean mayWriteRoutine() {
        final long now = mTime.monotonicNanos();
        if (now - mWindowNanos >= NANOS_PER_SECOND) {
            mWindowNanos = now;
            mInWindow = 0;
        }
        return ++mInWindow <= ROUTINE_PER_SECOND;
    }

    private void writeLines() {
        final StringBuilder batch = new StringBuilder(BATCH_CHARS);
        while (!mClosed.get()) {
            try {
                batch.append(mLines.take());
                Thread.sleep(COLLECT_MILLIS);
            } catch (final InterruptedException e) {
                // The log was closed; what waits is written before the thread ends.
                mClosed.set(true);
            }
            flush(batch);
        }
        flush(batch);
    }

    private void flush(final StringBuilder batch) {
        for (String line = mLines.poll(); line != null; line = mLines.poll()) {
            batch.append(line);
            if (batch.length() > BATCH_CHARS) {
                write(batch);
            }
        }
        write(batch);
    }

    private void write(final StringBuilder batch) {
        final byte[] bytes = batch.toString().getBytes(StandardCharsets.UTF_8);
        mOut.write(bytes, 0, bytes.length);
        mOut.flush();
        batch.setLength(0);
    }
}
