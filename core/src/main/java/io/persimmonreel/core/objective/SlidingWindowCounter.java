package io.persimmonreel.core.objective;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicReferenceArray;
import java.util.concurrent.atomic.LongAdder;

/**
 * Counts requests over sliding windows of up to six hours, in a ring of buckets of fixed length.
 * Never blocks.
 */
final class SlidingWindowCounter {
    /** The length of a bucket; a window reaches back further than its length by at most this. */
    static final Duration BUCKET_LENGTH = Duration.ofSeconds(15);

    private static final int BUCKET_COUNT =
            (int) ObjectiveWindow.SIX_HOURS.length().dividedBy(BUCKET_LENGTH) + 1;

    private final AtomicReferenceArray<Bucket> mBuckets = new AtomicReferenceArray<>(BUCKET_COUNT);
    private final LongAdder mOffered = new LongAdder();
    private final LongAdder mGood = new LongAdder();

    private static final class Bucket {
        private final long mBucketNumber;
        private final LongAdder mOffered = new LongAdder();
        private final LongAdder mGood = new LongAdder();

        Bucket(final long number) {
            mBucketNumber = number;
        }
    }

    void add(final long nowNanos, final boolean good) {
        final Bucket bucket = bucket(Math.floorDiv(nowNanos, BUCKET_LENGTH.toNanos()));
        bucket.mOffered.increment();
        mOffered.increment();
        if (good) {
            bucket.mGood.increment();
            mGood.increment();
        }
    }

    private Bucket bucket(final long number) {
        final int index = Math.floorMod(number, BUCKET_COUNT);
        while (true) {
            final Bucket current = mBuckets.get(index);
            // A thread that was suspended may find a newer bucket, and counts there.
            if (current != null && current.mBucketNumber >= number) {
                return current;
            }
            final Bucket fresh = new Bucket(number);
            if (mBuckets.compareAndSet(index, current, fresh)) {
                return fresh;
            }
        }
    }

    RequestCount total() {
        final long good = mGood.sum();
        return new RequestCount(mOffered.sum(), good);
    }

    RequestCount inWindow(final long nowNanos, final Duration window) {
        final long newest = Math.floorDiv(nowNanos, BUCKET_LENGTH.toNanos());
        final long oldest = newest - window.dividedBy(BUCKET_LENGTH);
        long offered = 0;
        long good = 0;
        for (long number = oldest; number <= newest; number++) {
            final Bucket bucket = mBuckets.get(Math.floorMod(number, BUCKET_COUNT));
            if (bucket != null && bucket.mBucketNumber == number) {
                // Read in this order, so that good never exceeds offered.
                good += bucket.mGood.sum();
                offered += bucket.mOffered.sum();
            }
        }
        return new RequestCount(offered, good);
    }
}
