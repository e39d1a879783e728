package io.persimmonreel.fakes;

import java.util.ArrayDeque;
import java.util.Queue;
import org.reactivestreams.Publisher;
import org.reactivestreams.Subscriber;
import org.reactivestreams.Subscription;

/**
 * Publishes the server-sent events of one response in order; events can come from any thread.
 * Events that the connection can't accept yet are queued without limit.
 */
final class SsePublisher implements Publisher<String>, Subscription {
    private final Queue<String> mQueuedEvents = new ArrayDeque<>();
    private final Runnable mOnCancel;
    private Runnable mOnDrained;
    private Subscriber<? super String> mSubscriber;
    private long mDemand;
    private boolean mCompletionRequested;
    private boolean mTerminated;
    private boolean mDraining;

    /**
     * Creates a publisher without events.
     *
     * @param onCancel called when the reader disconnects before the end of the response
     */
    SsePublisher(final Runnable onCancel) {
        mOnCancel = onCancel;
    }

    /** Queues a server-sent event. */
    void publish(final String name, final String json) {
        synchronized (this) {
            if (mCompletionRequested || mTerminated) {
                return;
            }
            mQueuedEvents.add("event: " + name + "\ndata: " + json + "\n\n");
        }
        drain();
    }

    /** Ends the response after the events queued so far. */
    void complete() {
        synchronized (this) {
            mCompletionRequested = true;
        }
        drain();
    }

    /** Runs an action, such as closing the connection, after the events queued so far. */
    void whenDrained(final Runnable action) {
        synchronized (this) {
            mOnDrained = action;
        }
        drain();
    }

    @Override
    public void subscribe(final Subscriber<? super String> subscriber) {
        synchronized (this) {
            mSubscriber = subscriber;
        }
        subscriber.onSubscribe(this);
        drain();
    }

    @Override
    public void request(final long count) {
        synchronized (this) {
            mDemand = mDemand + count < 0 ? Long.MAX_VALUE : mDemand + count;
        }
        drain();
    }

    @Override
    public void cancel() {
        synchronized (this) {
            if (mTerminated) {
                return;
            }
            mTerminated = true;
            mQueuedEvents.clear();
        }
        mOnCancel.run();
    }

    private void drain() {
        synchronized (this) {
            if (mDraining || mSubscriber == null) {
                return;
            }
            mDraining = true;
        }
        while (true) {
            final String event;
            Runnable onDrained = null;
            synchronized (this) {
                if (!mTerminated && !mQueuedEvents.isEmpty() && mDemand > 0) {
                    mDemand--;
                    event = mQueuedEvents.remove();
                } else if (mOnDrained != null && mQueuedEvents.isEmpty()) {
                    onDrained = mOnDrained;
                    mOnDrained = null;
                    event = null;
                } else if (!mTerminated && mQueuedEvents.isEmpty() && mCompletionRequested) {
                    mTerminated = true;
                    event = null;
                } else {
                    mDraining = false;
                    return;
                }
            }
            if (onDrained != null) {
                onDrained.run();
            } else if (event == null) {
                mSubscriber.onComplete();
            } else {
                mSubscriber.onNext(event);
            }
        }
    }
}
