package io.persimmonreel.core.admission;

/**
 * Orders waiting requests. Those that can still be on time come before all others; within each
 * group, those come first that have to get a slot soonest. Immutable.
 *
 * @param isLate whether the request can't be on time any more
 * @param urgencyMillis the time in milliseconds until which it has to get a slot, weighted by rank
 */
public record QueuePosition(boolean isLate, double urgencyMillis)
        implements Comparable<QueuePosition> {
    /**
     * Determines the position of a request.
     *
     * <p>A rank counts as a multiple of the time that is left. So a request yields to those of
     * higher rank while it has time, and to none when its time runs out.
     *
     * @param left the time that the caller has left
     * @param run how long the response takes
     * @param rank the priority rank, 0 is the highest
     * @return the position
     */
    public static QueuePosition of(final TimeLeft left, final RunForecast run, final int rank) {
        final double punctualStart = left.latestPunctualStartMillis(run);
        final boolean isLate = punctualStart < 0;
        final double start = isLate ? left.latestStartMillis(run) : punctualStart;
        return new QueuePosition(isLate, Math.max(0, start) * (1.0 + Math.max(0, rank)));
    }

    @Override
    public int compareTo(final QueuePosition other) {
        return isLate == other.isLate
                ? Double.compare(urgencyMillis, other.urgencyMillis)
                : Boolean.compare(isLate, other.isLate);
    }
}
