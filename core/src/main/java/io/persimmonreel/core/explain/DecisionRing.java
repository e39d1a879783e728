package io.persimmonreel.core.explain;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReferenceArray;

/**
 * Keeps the latest decision records in a ring buffer. Adding a record is one atomic increment and
 * one store; it never blocks and never fails. A lookup reads the whole ring.
 */
public final class DecisionRing implements DecisionLog {
    /** The number of records that are kept; older ones are overwritten. */
    public static final int CAPACITY = 65_536;

    private final AtomicReferenceArray<DecisionRecord> mRecords =
            new AtomicReferenceArray<>(CAPACITY);
    private final AtomicLong mAdded = new AtomicLong();

    @Override
    public void add(final DecisionRecord record) {
        mRecords.set(index(mAdded.getAndIncrement()), record);
    }

    /**
     * Returns the records of a request.
     *
     * @param requestId the request's id
     * @return the records that are still kept, the oldest first
     */
    public List<DecisionRecord> ofRequest(final String requestId) {
        final List<DecisionRecord> found = new ArrayList<>();
        final long end = mAdded.get();
        for (long position = Math.max(0, end - CAPACITY); position < end; position++) {
            final DecisionRecord record = mRecords.get(index(position));
            if (record != null && record.requestId().equals(requestId)) {
                found.add(record);
            }
        }
        return found;
    }

    /**
     * Returns the latest records, whether they are about a request or not.
     *
     * @param count the most records to return
     * @return the records, the oldest first
     */
    public List<DecisionRecord> latest(final int count) {
        final List<DecisionRecord> found = new ArrayList<>();
        final long end = mAdded.get();
        final int bounded = Math.min(count, CAPACITY);
        for (long position = Math.max(0, end - bounded); position < end; position++) {
            final DecisionRecord record = mRecords.get(index(position));
            if (record != null) {
                found.add(record);
            }
        }
        return found;
    }

    /**
     * Returns the number of records added since the start, including those no longer kept.
     *
     * @return the number of records
     */
    public long added() {
        return mAdded.get();
    }

    private static int index(final long position) {
        return (int) (position % CAPACITY);
    }
}
