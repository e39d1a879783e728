package io.persimmonreel.daemon.relay;

import io.persimmonreel.core.replica.Replica;
import java.util.Collection;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Holds the accepted requests that have not ended, in the order of their arrival. */
final class ActiveCalls {
    private final Map<CallerRequest, RelayCall> mCalls = new LinkedHashMap<>();
    private long mBodyBytes;

    void add(final RelayCall call) {
        mCalls.put(call.task().request(), call);
        mBodyBytes += call.task().request().body().readableBytes();
    }

    /** Removes a call, whose request must still have its body. */
    void remove(final RelayCall call) {
        if (mCalls.remove(call.task().request(), call)) {
            mBodyBytes -= call.task().request().body().readableBytes();
        }
    }

    /** Returns the call of a request, or null if it has ended or was not accepted. */
    RelayCall find(final CallerRequest request) {
        return mCalls.get(request);
    }

    boolean isEmpty() {
        return mCalls.isEmpty();
    }

    int size() {
        return mCalls.size();
    }

    /** Returns the total size of the request bodies in bytes. */
    long bodyBytes() {
        return mBodyBytes;
    }

    /** Returns an unmodifiable view of the calls. */
    Collection<RelayCall> all() {
        return Collections.unmodifiableCollection(mCalls.values());
    }

    /** Returns a copy of the calls, for loops in which calls may end. */
    List<RelayCall> snapshot() {
        return List.copyOf(mCalls.values());
    }

    /** Returns whether a replica works on a request that was sent before the given time. */
    boolean hasOlderAt(final Replica replica, final long beforeNanos) {
        return mCalls.values().stream()
                .anyMatch(
                        call ->
                                call.replica() == replica
                                        && call.isAtReplica()
                                        && call.dispatch().sentNanos() - beforeNanos < 0);
    }
}
