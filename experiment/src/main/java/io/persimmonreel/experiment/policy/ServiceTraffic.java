package io.persimmonreel.experiment.policy;

import io.persimmonreel.core.service.ServiceSpec;
import java.util.SplittableRandom;

/**
 * Describes the requests that callers send to one service.
 *
 * @param service the service
 * @param capacityShare the share of its upstream's capacity at load 1
 * @param promptLength the length of the prompt without the prefix, in tokens
 * @param prefixTokens the length of the prompt prefix that all requests of a customer share
 * @param outputLength the length of the output in tokens
 * @param medianPlainNanos the median service time at a plain replica, in nanoseconds
 */
record ServiceTraffic(
        ServiceSpec service,
        double capacityShare,
        LengthDistribution promptLength,
        int prefixTokens,
        LengthDistribution outputLength,
        long medianPlainNanos) {
    /**
     * Describes log-normal lengths that are cut off at two bounds.
     *
     * @param median the median before the cut-off
     * @param sigma the standard deviation of the logarithm
     * @param minimum the shortest length
     * @param maximum the longest length
     */
    record LengthDistribution(double median, double sigma, int minimum, int maximum) {
        static final LengthDistribution NONE = new LengthDistribution(0, 0, 0, 0);

        /** Returns the length for a sample of the standard normal distribution. */
        int lengthFor(final double gaussian) {
            return (int) Math.max(minimum, Math.min(maximum, median * Math.exp(sigma * gaussian)));
        }

        /**
         * Estimates the mean from 4000 samples; the seed is fixed, so the mean is always the same.
         */
        double mean() {
            double sum = 0;
            final SplittableRandom random = new SplittableRandom(1);
            final int samples = 4000;
            for (int i = 0; i < samples; i++) {
                sum += lengthFor(random.nextGaussian());
            }
            return sum / samples;
        }
    }
}
