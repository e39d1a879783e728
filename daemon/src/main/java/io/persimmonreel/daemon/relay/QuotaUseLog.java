package io.persimmonreel.daemon.relay;

import io.persimmonreel.daemon.log.EventLog;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Counts what happens to the units of customers' quotas, and logs the counts of each customer at
 * intervals. The lines of all daemons add up to the use of a customer in the fleet; they are not
 * limited by rate. Not thread safe.
 */
final class QuotaUseLog {
    /** The time between two lines on a customer, in nanoseconds. */
    static final long INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

    /**
     * The maximum number of customers with a line of their own in an interval; the others share
     * one.
     */
    private static final int MAXIMUM_CUSTOMERS = 64;

    private static final String OTHER_CUSTOMERS = "*";

    private final EventLog mLog;
    private final RelayMetrics mMetrics;
    private final Map<String, Map<QuotaEvent, Long>> mUnits = new LinkedHashMap<>();
    private long mSinceNanos;

    QuotaUseLog(final EventLog log, final RelayMetrics metrics, final long nowNanos) {
        mLog = log;
        mMetrics = metrics;
        mSinceNanos = nowNanos;
    }

    /** Counts units; an empty customer, for a request without a key, has no quota. */
    void add(final String customer, final QuotaEvent event, final long units) {
        if (customer.isEmpty() || units == 0) {
            return;
        }
        mMetrics.onQuota(customer, event.label(), units);
        final boolean hasOwnLine =
                mUnits.containsKey(customer) || mUnits.size() < MAXIMUM_CUSTOMERS;
        mUnits.computeIfAbsent(
                        hasOwnLine ? customer : OTHER_CUSTOMERS,
                        name -> new EnumMap<>(QuotaEvent.class))
                .merge(event, units, Long::sum);
    }

    /** Writes the counts since the last call. */
    void write(final long nowNanos) {
        final long millis = TimeUnit.NANOSECONDS.toMillis(nowNanos - mSinceNanos);
        mSinceNanos = nowNanos;
        mUnits.forEach(
                (customer, units) -> {
                    final EventLog.Line line =
                            mLog.event("quota", "use")
                                    .put("customer", customer)
                                    .put("interval_ms", millis);
                    units.forEach((event, count) -> line.put(event.label(), count));
                    line.write();
                });
        mUnits.clear();
    }
}
