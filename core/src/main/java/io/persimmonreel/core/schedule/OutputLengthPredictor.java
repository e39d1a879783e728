package io.persimmonreel.core.schedule;

import java.util.HashMap;
import java.util.Map;

/**
 * Predicts the output length of a request from earlier responses of its service and customer.
 * Callers hold the scheduler's lock.
 */
final class OutputLengthPredictor {
    private static final double SAMPLE_WEIGHT = 0.05;
    private static final double QUANTILE = 0.9;
    private static final double INITIAL_FRACTION_OF_MAXIMUM = 0.4;
    private static final int MINIMUM_CUSTOMER_SAMPLES = 8;
    private static final int MAXIMUM_ENTRIES = 65_536;

    private final Map<String, Length> mByService = new HashMap<>();
    private final Map<Key, Length> mByCustomer = new HashMap<>();

    private record Key(String service, String customer) {}

    /** Holds an exponentially weighted mean and a running estimate of the 0.9 quantile. */
    private static final class Length {
        private double mMean;
        private double mQuantile;
        private int mSamples;

        void add(final double tokens) {
            if (mSamples == 0) {
                mMean = tokens;
                mQuantile = tokens;
            }
            mSamples++;
            mMean += Math.max(SAMPLE_WEIGHT, 1.0 / mSamples) * (tokens - mMean);
            final double step = SAMPLE_WEIGHT * Math.max(1, mMean);
            mQuantile += step * (tokens > mQuantile ? QUANTILE : QUANTILE - 1);
        }
    }

    void add(final String service, final String customer, final int tokens) {
        mByService.computeIfAbsent(service, key -> new Length()).add(tokens);
        if (mByCustomer.size() >= MAXIMUM_ENTRIES) {
            mByCustomer.clear();
        }
        mByCustomer.computeIfAbsent(new Key(service, customer), key -> new Length()).add(tokens);
    }

    /** Returns the expected output tokens, at most {@code maximum}. */
    int expected(final String service, final String customer, final int maximum) {
        final Length length = find(service, customer);
        final double tokens = length == null ? maximum * INITIAL_FRACTION_OF_MAXIMUM : length.mMean;
        return (int) Math.min(maximum, Math.ceil(tokens));
    }

    /** Returns the output tokens that 9 of 10 responses do not exceed, at most {@code maximum}. */
    int quantile(final String service, final String customer, final int maximum) {
        final Length length = find(service, customer);
        return length == null ? maximum : (int) Math.min(maximum, Math.ceil(length.mQuantile));
    }

    private Length find(final String service, final String customer) {
        final Length own = mByCustomer.get(new Key(service, customer));
        return own != null && own.mSamples >= MINIMUM_CUSTOMER_SAMPLES
                ? own
                : mByService.get(service);
    }
}
