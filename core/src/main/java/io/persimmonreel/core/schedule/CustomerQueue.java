package io.persimmonreel.core.schedule;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * Holds the waiting requests of one customer and tier. Requests that can still meet their objective
 * come first, ordered by the latest start that meets it; the others follow by deadline.
 */
final class CustomerQueue {
    private final PriorityQueue<TrackedRequest> mByObjectiveStart =
            new PriorityQueue<>(
                    Comparator.comparingLong(entry -> entry.mLatestObjectiveStartNanos));
    private final PriorityQueue<TrackedRequest> mByDeadline =
            new PriorityQueue<>(Comparator.comparingLong(entry -> entry.request().deadlineNanos()));
    private final String mCustomer;
    private double mDeficit;
    private int mWaiting;
    private boolean mActive;

    CustomerQueue(final String customer) {
        mCustomer = customer;
    }

    String customer() {
        return mCustomer;
    }

    int waiting() {
        return mWaiting;
    }

    void addWaiting(final int change) {
        mWaiting += change;
    }

    boolean isActive() {
        return mActive;
    }

    void setActive(final boolean active) {
        mActive = active;
        if (!active) {
            mDeficit = 0;
        }
    }

    double deficit() {
        return mDeficit;
    }

    void addDeficit(final double amount) {
        mDeficit += amount;
    }

    void add(final TrackedRequest request, final long nowNanos) {
        if (request.mLatestObjectiveStartNanos > nowNanos) {
            mByObjectiveStart.add(request);
        } else {
            mByDeadline.add(request);
        }
    }

    /** Returns the next request, or null; drops requests that no longer wait or are too late. */
    TrackedRequest peek(final long nowNanos) {
        while (!mByObjectiveStart.isEmpty()) {
            final TrackedRequest head = mByObjectiveStart.peek();
            if (!head.isQueued()) {
                mByObjectiveStart.poll();
            } else if (head.mLatestObjectiveStartNanos <= nowNanos) {
                mByDeadline.add(mByObjectiveStart.poll());
            } else {
                return head;
            }
        }
        while (!mByDeadline.isEmpty()) {
            final TrackedRequest head = mByDeadline.peek();
            if (head.isQueued() && head.mLatestStartNanos > nowNanos) {
                return head;
            }
            mByDeadline.poll();
        }
        return null;
    }

    /** Removes the request that {@link #peek} returned. */
    void remove(final TrackedRequest request) {
        if (mByObjectiveStart.peek() == request) {
            mByObjectiveStart.poll();
        } else if (mByDeadline.peek() == request) {
            mByDeadline.poll();
        }
    }
}
