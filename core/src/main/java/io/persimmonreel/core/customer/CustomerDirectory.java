package io.persimmonreel.core.customer;

import io.persimmonreel.core.config.Configuration;
import io.persimmonreel.core.config.ConfigurationListener;
import io.persimmonreel.core.customer.QuotaDecision.Verdict;
import io.persimmonreel.core.time.TimeSource;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Authenticates customers and enforces their quotas. A new configuration replaces keys and quotas
 * at once; the usage of customers stays counted.
 */
public final class CustomerDirectory implements ConfigurationListener {
    /**
     * A customer's token bucket holds the requests of this time. Independent arrivals at the
     * allowed rate come in bursts, which a bucket of a single request would refuse.
     */
    static final double BURST_SECONDS = 2.0;

    /**
     * The time after which a caller over the concurrency quota may retry. Requests in progress end
     * at unknown times; the wait keeps refused callers from retrying immediately.
     */
    static final long CONCURRENT_RETRY_MILLIS = 250;

    private final TimeSource mTime;
    private final Map<String, CustomerUsage> mUsage = new ConcurrentHashMap<>();
    private volatile CustomerTable mCustomers =
            new CustomerTable(Map.of(), new KeyIndex(List.of()));
    private volatile int mLiveDaemons = 1;

    private record CustomerTable(Map<String, CustomerSpec> customers, KeyIndex keys) {}

    /**
     * Creates a directory without customers.
     *
     * @param time the clocks
     */
    public CustomerDirectory(final TimeSource time) {
        mTime = time;
    }

    @Override
    public void onConfiguration(final Configuration configuration) {
        final Map<String, CustomerSpec> customers = configuration.customers();
        mCustomers = new CustomerTable(customers, new KeyIndex(customers.values()));
        mUsage.entrySet()
                .removeIf(
                        entry ->
                                !customers.containsKey(entry.getKey())
                                        && entry.getValue().inProgress() == 0);
    }

    /**
     * Sets the number of daemons that the customers' rates are divided by.
     *
     * @param count the live daemons, this one included; less than 1 counts as 1
     */
    public void updateLiveDaemons(final int count) {
        mLiveDaemons = Math.max(1, count);
    }

    /**
     * Finds the customer of a bearer key.
     *
     * @param bearerKey the key as the caller sent it, without the scheme
     * @return the customer, or empty if no customer has this key
     */
    public Optional<CustomerSpec> authenticate(final String bearerKey) {
        return mCustomers.keys().find(bearerKey);
    }

    /**
     * Admits a request if the customer's quota allows it.
     *
     * @param customerId the customer's id
     * @return the decision; the caller must {@link #release} an admitted request once it has ended
     */
    public QuotaDecision admit(final String customerId) {
        final CustomerSpec customer = mCustomers.customers().get(customerId);
        if (customer == null) {
            return new QuotaDecision(Verdict.UNKNOWN_CUSTOMER, 0);
        }
        final long now = mTime.monotonicNanos();
        final CustomerUsage usage =
                mUsage.computeIfAbsent(customerId, id -> new CustomerUsage(now));
        if (!usage.tryStart(customer.maximumConcurrent())) {
            return new QuotaDecision(Verdict.TOO_MANY_CONCURRENT, CONCURRENT_RETRY_MILLIS);
        }
        final double rate = customer.requestsPerSecond() / mLiveDaemons;
        final long waitMillis = usage.tryTakeToken(now, rate, BURST_SECONDS);
        if (waitMillis > 0) {
            usage.end();
            return new QuotaDecision(Verdict.TOO_MANY_PER_SECOND, waitMillis);
        }
        return new QuotaDecision(Verdict.ADMITTED, 0);
    }

    /**
     * Counts an admitted request as ended.
     *
     * @param customerId the customer's id
     */
    public void release(final String customerId) {
        final CustomerUsage usage = mUsage.get(customerId);
        if (usage != null) {
            usage.end();
        }
    }

    /**
     * Returns a customer's requests in progress on this daemon.
     *
     * @param customerId the customer's id
     * @return the number of requests that were admitted and not released
     */
    public int inProgress(final String customerId) {
        final CustomerUsage usage = mUsage.get(customerId);
        return usage == null ? 0 : usage.inProgress();
    }
}
