package io.persimmonreel.core.quota;

import java.time.Duration;

/**
 * Defines the time after which unspent units expire.
 *
 * <p>It has to cover the way of units to the daemon that collects them and from there to the
 * request. With a longer life, fewer units can accrue in a second, but more can be in store for
 * large requests. The tolerated tokens are used for a longer life first, since they are many units
 * for customers with a low rate.
 *
 * @param minimum the life without tolerated tokens
 * @param maximum the longest life
 */
public record QuotaLife(Duration minimum, Duration maximum) {
    /** The life of units in a fleet whose daemons are all connected. */
    public static final QuotaLife MESH =
            new QuotaLife(Duration.ofMillis(1_600), Duration.ofMillis(1_600));

    /** The life of units in a fleet whose daemons are connected through hubs. */
    public static final QuotaLife HUBS =
            new QuotaLife(Duration.ofMillis(2_400), Duration.ofMillis(4_000));
}
