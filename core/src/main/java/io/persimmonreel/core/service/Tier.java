package io.persimmonreel.core.service;

import java.util.Locale;
import java.util.Optional;

/** Ranks requests by importance; the constants are in order, the highest tier first. */
public enum Tier {
    URGENT,
    HIGH,
    NORMAL,
    BULK;

    /**
     * Returns whether this tier is higher than another.
     *
     * @param other the tier to compare with
     * @return true if this tier is strictly higher
     */
    public boolean isHigherThan(final Tier other) {
        return ordinal() < other.ordinal();
    }

    /**
     * Returns the lower of two tiers.
     *
     * @param other the tier to compare with
     * @return this tier or {@code other}, whichever is lower
     */
    public Tier lowerOf(final Tier other) {
        return isHigherThan(other) ? other : this;
    }

    /**
     * Returns the name used in operator texts, headers and labels.
     *
     * @return the name in lower case
     */
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }

    /**
     * Finds a tier by its label.
     *
     * @param label the label, may be null
     * @return the tier, or empty if the label is null or unknown
     */
    public static Optional<Tier> ofLabel(final String label) {
        for (final Tier tier : values()) {
            if (tier.label().equals(label)) {
                return Optional.of(tier);
            }
        }
        return Optional.empty();
    }
}
