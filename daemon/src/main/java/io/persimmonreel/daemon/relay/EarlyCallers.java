package io.persimmonreel.daemon.relay;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Holds requests that come before the first configuration. A daemon that starts knows it within a
 * moment, or not for long. Not thread safe.
 */
final class EarlyCallers {
    private static final long HOLD_NANOS = TimeUnit.MILLISECONDS.toNanos(350);

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

    /** Returns all requests and holds none any more. */
    List<CallerRequest> takeAll() {
        final List<CallerRequest> requests = new ArrayList<>(mRequests);
        mRequests.clear();
        return requests;
    }

    /** Returns the requests that were held for too long, and holds them no more. */
    List<CallerRequest> takeOverdue(final long nowNanos) {
        final List<CallerRequest> overdue = new ArrayList<>();
        while (!mRequests.isEmpty()
                && nowNanos - mRequests.peekFirst().arrivedNanos() > HOLD_NANOS) {
            overdue.add(mRequests.pollFirst());
        }
        return overdue;
    }
}
