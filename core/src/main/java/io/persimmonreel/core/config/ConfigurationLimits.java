package io.persimmonreel.core.config;

/** Defines the limits of operator texts; a value outside of them is reported as a finding. */
public final class ConfigurationLimits {
    /** The configuration service stores no larger value. */
    public static final int MAXIMUM_TEXT_BYTES = 1_048_576;

    /** The only format of operator texts so far. */
    public static final int FORMAT = 1;

    /** Valid texts nest six levels deep; reading deeper ones would only cost memory. */
    static final int MAXIMUM_NESTING_DEPTH = 16;

    /** No more findings are listed, since a text of 1 MB can hold several 100,000 faults. */
    static final int MAXIMUM_FINDINGS = 1_000;

    static final int MAXIMUM_ID_CHARACTERS = 64;
    static final int MAXIMUM_STRING_CHARACTERS = 128;
    static final int MAXIMUM_DAEMONS = 1_000;
    static final int MAXIMUM_CLAIM_GROUPS = 1_000;
    static final long MAXIMUM_CLOCK_SKEW_MILLIS = 60_000;
    static final long MAXIMUM_KEY_REPEAT_MILLIS = 86_400_000;
    static final int MAXIMUM_ZONES = 64;
    static final int MAXIMUM_CUSTOMERS = 20_000;
    static final int MAXIMUM_KEYS_PER_CUSTOMER = 2;
    static final int MAXIMUM_SHARE = 1_000;
    static final int MAXIMUM_CONCURRENT_REQUESTS = 100_000;
    static final double MAXIMUM_REQUESTS_PER_SECOND = 1_000_000;
    static final int MAXIMUM_UPSTREAMS = 1_000;
    static final int MAXIMUM_REPLICAS_PER_UPSTREAM = 10_000;
    static final int MAXIMUM_REPLICA_CONCURRENCY = 10_000;
    static final int MAXIMUM_SERVICES = 1_000;
    static final int MAXIMUM_DEPENDENCIES = 32;
    static final long MAXIMUM_DEADLINE_MILLIS = 86_400_000;

    /** A claimed request's body is compared by digest and kept in memory while it waits. */
    static final int MAXIMUM_BODY_BYTES = 16_777_216;

    static final int MAXIMUM_OUTPUT_TOKENS = 1_000_000;
    static final int MAXIMUM_LOADS_PER_MINUTE = 1_000_000;

    private ConfigurationLimits() {}
}
