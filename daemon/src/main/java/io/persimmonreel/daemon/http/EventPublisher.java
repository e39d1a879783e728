package io.persimmonreel.daemon.http;

import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.Executor;
import java.util.function.LongSupplier;
import org.reactivestreams.Publisher;
import org.reactivestreams.Subscriber;
import org.reactivestreams.Subscription;

/**
 * Publishes the server-sent events of one response to its connection, on the connection's thread.
 *
 * <p>Events are buffered while the connection takes no more. The connection of a caller that
 * stopped reading is closed.
 */
final class EventPublisher implements Publisher<String> {
    /** Holds the whole of a usual answer, so that only callers that stopped reading exceed it. */
    static final int MAXIMUM_BUFFERED_CHARS = 1024 * 1024;

    /** A caller that takes no event for this long while some are buffered has stopped reading. */
    static final long MAXIMUM_STALL_NANOS = 10_000_000_000L;

    private final Executor mExecutor;
    private final LongSupplier mNanos;
    private final Runnable mCloseConnection;
    private final Queue<String> mBuffer = new ArrayDeque<>();
    private Subscriber<? super String> mSubscriber;
    private long mDemand;
    private int mBufferedChars;
    private long mLastProgressNanos;
    private boolean mComplete;
    private boolean mStopped;

    /**
     * Creates a publisher.
     *
     * @param executor runs tasks on the connection's thread
     * @param nanos reads the monotonic clock in nanoseconds
     * @param closeConnection closes the connection
     */
    EventPublisher(
            final Executor executor, final LongSupplier nanos, final Runnable closeConnection) {
        mExecutor = executor;
        mNanos = nanos;
        mCloseConnection = closeConnection;
        mLastProgressNanos = nanos.getAsLong();
    }

    /**
     * Publishes an event after those published before.
     *
     * @param name the event's name
     * @param json the event's data, JSON on one line
     */
    void publish(final String name, final String json) {
        final boolean overflow;
        synchronized (this) {
            if (mComplete || mStopped) {
                return;
            }
            if (mBuffer.isEmpty()) {
                mLastProgressNanos = mNanos.getAsLong();
            }
            final String text = "event: " + name + "\ndata: " + json + "\n\n";
            mBuffer.add(text);
            mBufferedChars += text.length();
            overflow = mBufferedChars > MAXIMUM_BUFFERED_CHARS;
        }
        if (overflow) {
            disconnect();
        } else {
            mExecutor.execute(this::drain);
        }
    }

    /** Ends the response after the events published so far. */
    synchronized void complete() {
        mComplete = true;
        mExecutor.execute(this::drain);
    }

    /**
     * Closes the connection if the caller took no event for {@link #MAXIMUM_STALL_NANOS} while some
     * were buffered.
     *
     * @return true if no more checks are needed: the response ended or the connection was closed
     */
    boolean checkStall() {
        final boolean stalled;
        synchronized (this) {
            if (mStopped) {
                return true;
            }
            stalled =
                    !mBuffer.isEmpty()
                            && mNanos.getAsLong() - mLastProgressNanos > MAXIMUM_STALL_NANOS;
        }
        if (stalled) {
            disconnect();
        }
        return stalled;
    }

    @Override
    public void subscribe(final Subscriber<? super String> subscriber) {
        synchronized (this) {
            mSubscriber = subscriber;
        }
        subscriber.onSubscribe(
                new Subscription() {
                    @Override
                    public void request(final long count) {
                        addDemand(count);
                    }

                    @Override
                    public void cancel() {
                        stop();
                    }
                });
    }

    private synchronized void addDemand(final long count) {
        mDemand = mDemand + count < 0 ? Long.MAX_VALUE : mDemand + count;
        mExecutor.execute(this::drain);
    }

    private synchronized void stop() {
        mStopped = true;
        mBuffer.clear();
        mBufferedChars = 0;
    }

    private void disconnect() {
        stop();
        mCloseConnection.run();
    }

    private void drain() {
        while (true) {
            final String next;
            synchronized (this) {
                if (mStopped || mSubscriber == null) {
                    return;
                }
                if (mBuffer.isEmpty() && mComplete) {
                    mStopped = true;
                    next = null;
                } else if (mBuffer.isEmpty() || mDemand == 0) {
                    return;
                } else {
                    next = mBuffer.remove();
                    mBufferedChars -= next.length();
                    mDemand--;
                    mLastProgressNanos = mNanos.getAsLong();
                }
            }
            if (next == null) {
                mSubscriber.onComplete();
                return;
            }
            mSubscriber.onNext(next);
        }
    }
}
