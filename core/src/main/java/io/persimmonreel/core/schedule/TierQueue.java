package io.persimmonreel.core.schedule;

import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.function.ToIntFunction;

/**
 * Holds the waiting requests of one upstream and tier. Customers are served by deficit round robin,
 * weighted by their shares, so that a large customer does not starve the others.
 */
final class TierQueue {
    static final int MAXIMUM_ENTRIES = 4096;
    private static final int MAXIMUM_PER_CUSTOMER = MAXIMUM_ENTRIES / 2;

    /** The tokens of work that a customer with share 1 may start in one round. */
    private static final double QUANTUM_TOKENS = 100;

    private final Map<String, CustomerQueue> mCustomers = new HashMap<>();

    /** The customers with waiting requests in the order of their turns. */
    private final ArrayDeque<CustomerQueue> mRound = new ArrayDeque<>();

    private final ArrayDeque<TrackedRequest> mArrivals = new ArrayDeque<>();
    private final PriorityQueue<TrackedRequest> mByLatestStart =
            new PriorityQueue<>(Comparator.comparingLong(entry -> entry.mLatestStartNanos));
    private final ToIntFunction<String> mShare;
    private int mSize;
    private double mCost;

    TierQueue(final ToIntFunction<String> share) {
        mShare = share;
    }

    int size() {
        return mSize;
    }

    /** Returns the work of all waiting requests, in tokens. */
    double cost() {
        return mCost;
    }

    boolean isFull() {
        return mSize >= MAXIMUM_ENTRIES;
    }

    boolean isFullFor(final String customer) {
        final CustomerQueue queue = mCustomers.get(customer);
        return queue != null && queue.waiting() >= MAXIMUM_PER_CUSTOMER;
    }

    void add(final TrackedRequest request, final long nowNanos) {
        final CustomerQueue queue =
                mCustomers.computeIfAbsent(request.request().customer(), CustomerQueue::new);
        queue.add(request, nowNanos);
        queue.addWaiting(1);
        if (!queue.isActive()) {
            queue.setActive(true);
            mRound.addLast(queue);
        }
        mArrivals.addLast(request);
        mByLatestStart.add(request);
        mSize++;
        mCost += request.cost();
    }

    /** Returns the next request by fair sharing, or null; it stays in the queue. */
    TrackedRequest peek(final long nowNanos) {
        while (!mRound.isEmpty()) {
            final CustomerQueue queue = mRound.peekFirst();
            final TrackedRequest request = queue.peek(nowNanos);
            if (request == null) {
                mRound.pollFirst();
                queue.setActive(false);
                if (queue.waiting() == 0) {
                    mCustomers.remove(queue.customer());
                }
            } else if (mRound.size() == 1 || queue.deficit() >= request.cost()) {
                return request;
            } else {
                queue.addDeficit(QUANTUM_TOKENS * Math.max(1, mShare.applyAsInt(queue.customer())));
                mRound.addLast(mRound.pollFirst());
            }
        }
        return null;
    }

    /** Removes the request that {@link #peek} returned, for dispatch. */
    void remove(final TrackedRequest request) {
        final CustomerQueue queue = mRound.peekFirst();
        queue.remove(request);
        queue.addDeficit(-Math.min(queue.deficit(), request.cost()));
        removeFromCounts(request);
    }

    /**
     * Takes the request that {@link #peek} returned out of the order; it still counts as waiting.
     */
    void park(final TrackedRequest request) {
        mRound.peekFirst().remove(request);
    }

    /** Moves the request that {@link #peek} returned behind those that can meet their objective. */
    void demote(final TrackedRequest request, final long nowNanos) {
        final CustomerQueue queue = mRound.peekFirst();
        queue.remove(request);
        request.mLatestObjectiveStartNanos = nowNanos;
        queue.add(request, nowNanos);
    }

    /** Subtracts a request that left the queue from the counts; its entries are dropped lazily. */
    void removeFromCounts(final TrackedRequest request) {
        mSize--;
        mCost = mSize == 0 ? 0 : mCost - request.cost();
        final CustomerQueue queue = mCustomers.get(request.request().customer());
        if (queue != null) {
            queue.addWaiting(-1);
        }
    }

    /** Returns the oldest request that waits for capacity and not for a dependency, or null. */
    TrackedRequest oldest() {
        while (!mArrivals.isEmpty()) {
            final TrackedRequest head = mArrivals.peekFirst();
            if (head.mPhase == TrackedRequest.Phase.QUEUED && !head.mDependencyBlocked) {
                return head;
            }
            mArrivals.pollFirst();
        }
        return null;
    }

    /** Returns a request that can no longer meet its deadline, or null; it stays in the queue. */
    TrackedRequest tooLateToStart(final long nowNanos) {
        while (!mByLatestStart.isEmpty()) {
            final TrackedRequest head = mByLatestStart.peek();
            if (head.mPhase != TrackedRequest.Phase.QUEUED) {
                mByLatestStart.poll();
            } else if (head.mLatestStartNanos <= nowNanos) {
                return head;
            } else {
                return null;
            }
        }
        return null;
    }
}
