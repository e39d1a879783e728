package io.persimmonreel.daemon.relay;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Holds requests that arrive before the first configuration. A starting daemon receives its
 * configuration either almost at once or not for a long time, so requests are held only briefly.
 * Not thread safe.
 */
final class PreConfigurationQueue {
    private static final long MAXIMUM_HOLD_NANOS = TimeUnit.MILLISECONDS.toNanos(350);

    private final Deque<CallerRequest> mRequests = new ArrayDeque<>();

    void add(final CallerRequest request) {
        mRequests.addLast(request);
    }

    void remove(final CallerRequest request) {
        mRequests.remove(request);
    }

    boolean isEmpty() {
        return mRequests.isEmpty();
    }

    /** Removes and returns all requests. */
    List<CallerRequest> takeAll() {
        final List<CallerRequest> requests = new ArrayList<>(mRequests);
        mRequests.clear();
        return requests;
    }

    /** Removes and returns the requests that were held for too long. */
    List<CallerRequest> takeOverdue(final long nowNanos) {
        final List<CallerRequest> overdue = new ArrayList<>();
        while (!mRequests.isEmpty()
                && nowNanos - mRequests.peekFirst().arrivedNanos() > MAXIMUM_HOLD_NANOS) {
            overdue.add(mRequests.pollFirst());
        }
        return overdue;
    }
}
