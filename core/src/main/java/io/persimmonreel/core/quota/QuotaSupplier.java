package io.persimmonreel.core.quota;

/** Requests units from the daemon that collects the unused units of a customer. */
interface QuotaSupplier {
    /** Requests nothing, for a daemon that is alone. */
    QuotaSupplier NONE = (customer, units, kind) -> 0;

    /**
     * Returns whether another daemon collects the unused units of a customer and can be reached.
     *
     * @param customer the customer's name
     * @return false if this daemon collects the units itself
     */
    default boolean hasCollector(final String customer) {
        return false;
    }

    /**
     * Requests units of a customer.
     *
     * @param customer the customer's name
     * @param units the units
     * @param kind the units that are of use
     * @return the number of the request; 0 if this daemon collects the units itself, or if no other
     *     daemon can be reached
     */
    long request(String customer, long units, QuotaClaim.Kind kind);
}
