package io.persimmonreel.cli;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/** Collects counts, latencies and faults of the answers to a load. Instances are thread safe. */
final class LoadResult {
    private static final long MAXIMUM_LATENCY_MICROS = 3_600_000_000L;
    private static final int SIGNIFICANT_DIGITS = 3;
    private static final int MAXIMUM_LISTED_FAULTS = 20;
    private static final double[] PERCENTILES = {50, 90, 95, 99, 99.9, 100};
    private static final double MICROS_PER_MILLI = 1_000.0;
    private static final double NANOS_PER_MICRO = 1_000.0;

    private final Histogram mTotalMicros =
            new Histogram(MAXIMUM_LATENCY_MICROS, SIGNIFICANT_DIGITS);
    private final Histogram mFirstTokenMicros =
            new Histogram(MAXIMUM_LATENCY_MICROS, SIGNIFICANT_DIGITS);
    private final Map<String, Integer> mOutcomes = new TreeMap<>();
    private final List<String> mListedFaults = new ArrayList<>();
    private int mFaultCount;
    private int mOffered;
    private int mNotSent;
    private int mGood;

    /**
     * Adds an answer.
     *
     * @param answer the answer
     * @param delayNanos the time between the planned and the actual start of the request, which is
     *     added to the latency so that a stalled sender does not hide it
     */
    synchronized void add(final Answer answer, final long delayNanos) {
        mOffered++;
        mOutcomes.merge(label(answer), 1, Integer::sum);
        if (!answer.fault().isEmpty()) {
            mFaultCount++;
            if (mListedFaults.size() < MAXIMUM_LISTED_FAULTS) {
                mListedFaults.add(answer.requestId() + ": " + answer.fault());
            }
        }
        if (answer.isGood()) {
            mGood++;
            mTotalMicros.recordValue(micros(answer.totalNanos() + delayNanos));
            mFirstTokenMicros.recordValue(micros(answer.firstNanos() + delayNanos));
        }
    }

    /** Counts a request that was not sent because the limit of requests in progress was reached. */
    synchronized void addNotSent() {
        mOffered++;
        mNotSent++;
    }

    synchronized int good() {
        return mGood;
    }

    synchronized int offered() {
        return mOffered;
    }

    synchronized int faults() {
        return mFaultCount;
    }

    synchronized Map<String, Integer> outcomes() {
        return Map.copyOf(mOutcomes);
    }

    /** Prints counts and percentiles. */
    synchronized void print(final PrintStream out, final double seconds) {
        out.printf(Locale.ROOT, "offered       %8d  %10.1f /s%n", mOffered, mOffered / seconds);
        out.printf(Locale.ROOT, "good          %8d  %10.1f /s%n", mGood, mGood / seconds);
        out.printf(Locale.ROOT, "wrong answers %8d%n", mFaultCount);
        out.printf(Locale.ROOT, "not sent      %8d%n", mNotSent);
        mOutcomes.forEach((label, count) -> out.printf(Locale.ROOT, "  %-40s %8d%n", label, count));
        out.printf(Locale.ROOT, "%-12s %12s %12s%n", "percentile", "first ms", "complete ms");
        for (final double percentile : PERCENTILES) {
            out.printf(
                    Locale.ROOT,
                    "%-12s %12.1f %12.1f%n",
                    percentile,
                    mFirstTokenMicros.getValueAtPercentile(percentile) / MICROS_PER_MILLI,
                    mTotalMicros.getValueAtPercentile(percentile) / MICROS_PER_MILLI);
        }
        mListedFaults.forEach(fault -> out.println("wrong answer: " + fault));
    }

    /** Returns the outcome and the problem type of an answer as one label. */
    static String label(final Answer answer) {
        if (answer.isAnswered()) {
            return answer.fault().isEmpty() ? "answered" : "wrong answer";
        }
        final String type = answer.type().substring(answer.type().lastIndexOf('/') + 1);
        return answer.outcome() + (type.isEmpty() ? "" : " " + type);
    }

    private static long micros(final long nanos) {
        return Math.max(0, Math.min(MAXIMUM_LATENCY_MICROS, Math.round(nanos / NANOS_PER_MICRO)));
    }
}
