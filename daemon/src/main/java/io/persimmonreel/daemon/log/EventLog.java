package io.persimmonreel.daemon.log;

import io.persimmonreel.core.time.TimeSource;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Writes decisions and state changes to a log, one JSON object a line.
 *
 * <p>Lines wait in a bounded queue, and a thread of the log writes them. Lines that do not fit are
 * dropped, and the next line has their count. Routine lines are limited by rate, and the next line
 * has the count of those left out. Callers never block.
 */
public final class EventLog implements AutoCloseable {
    /** The capacity of the queue; at 300 bytes a line it takes about 1.2 MB. */
    private static final int QUEUE_CAPACITY = 4_096;

    /** The maximum number of routine lines in one second; further ones are only counted. */
    private static final int ROUTINE_LINES_PER_SECOND = 200;

    /** The writer collects lines for this time, since each wake-up costs processor time. */
    private static final long COLLECT_MILLIS = 100;

    private static final int BATCH_CHARACTERS = 32_768;

    private final ArrayBlockingQueue<String> mLines = new ArrayBlockingQueue<>(QUEUE_CAPACITY);
    private final AtomicLong mDropped = new AtomicLong();
    private final AtomicLong mSuppressed = new AtomicLong();
    private final LineRateLimit mRoutineLimit = new LineRateLimit(ROUTINE_LINES_PER_SECOND);
    private final AtomicBoolean mClosed = new AtomicBoolean();
    private final TimeSource mTime;
    private final String mNode;
    private final PrintStream mOut;
    private final Thread mWriter;

    /**
     * Creates a log and starts its thread.
     *
     * @param node the name of this daemon, written in each line
     * @param time the clock
     * @param out receives the lines
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
     * Starts a line that is written unless the queue is full.
     *
     * @param part the part of the daemon that writes it
     * @param event what happened, one or two words
     * @return the line
     */
    public Line event(final String part, final String event) {
        return new Line(this, part, event, false);
    }

    /**
     * Starts a line about the normal processing of a request. Such lines are limited by rate.
     *
     * @param part the part of the daemon that writes it
     * @param event what happened, one or two words
     * @return the line
     */
    public Line routine(final String part, final String event) {
        return new Line(this, part, event, !mRoutineLimit.tryAcquire(mTime.monotonicNanos()));
    }

    /** Writes the waiting lines and stops the thread. */
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

    /**
     * Builds one line. Values are escaped; field names are constants and are not. No text is built
     * for a line that is only counted.
     */
    public static final class Line {
        private final EventLog mLog;
        private final StringBuilder mText;

        private Line(
                final EventLog log,
                final String part,
                final String event,
                final boolean countedOnly) {
            mLog = log;
            mText = countedOnly ? null : new StringBuilder(256);
            put("ts", log.mTime.wallMillis());
            put("node", log.mNode);
            put("part", part);
            put("event", event);
        }

        /**
         * Adds a string field.
         *
         * @param name the field's name
         * @param value the value; a field with null is left out
         * @return this line
         */
        public Line put(final String name, final String value) {
            if (value != null && mText != null) {
                appendName(name);
                mText.append('"');
                appendEscaped(value);
                mText.append('"');
            }
            return this;
        }

        /**
         * Adds an integer field.
         *
         * @param name the field's name
         * @param value the value
         * @return this line
         */
        public Line put(final String name, final long value) {
            if (mText != null) {
                appendName(name);
                mText.append(value);
            }
            return this;
        }

        /**
         * Adds a boolean field.
         *
         * @param name the field's name
         * @param value the value
         * @return this line
         */
        public Line put(final String name, final boolean value) {
            if (mText != null) {
                appendName(name);
                mText.append(value);
            }
            return this;
        }

        /** Queues the line for writing. */
        public void write() {
            mLog.enqueue(this);
        }

        private void appendName(final String name) {
            mText.append(mText.length() == 0 ? "{\"" : ",\"").append(name).append("\":");
        }

        private void appendEscaped(final String value) {
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

    private void enqueue(final Line line) {
        if (line.mText == null) {
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

    private void writeLines() {
        final StringBuilder batch = new StringBuilder(BATCH_CHARACTERS);
        while (!mClosed.get()) {
            try {
                batch.append(mLines.take());
                Thread.sleep(COLLECT_MILLIS);
            } catch (final InterruptedException e) {
                // The log was closed. The waiting lines are written before the thread ends.
                mClosed.set(true);
            }
            writeWaitingLines(batch);
        }
        writeWaitingLines(batch);
    }

    private void writeWaitingLines(final StringBuilder batch) {
        for (String line = mLines.poll(); line != null; line = mLines.poll()) {
            batch.append(line);
            if (batch.length() > BATCH_CHARACTERS) {
                writeBatch(batch);
            }
        }
        writeBatch(batch);
    }

    private void writeBatch(final StringBuilder batch) {
        final byte[] bytes = batch.toString().getBytes(StandardCharsets.UTF_8);
        mOut.write(bytes, 0, bytes.length);
        mOut.flush();
        batch.setLength(0);
    }
}
