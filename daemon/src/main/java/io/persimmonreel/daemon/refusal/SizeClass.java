package io.persimmonreel.daemon.refusal;

/** Groups requests by their units, so that metrics by size have a bounded number of values. */
enum SizeClass {
    /** Fewer than 1,000 units. */
    SMALL("under_1000", 1_000),
    /** From 1,000 to 3,999 units. */
    MEDIUM("under_4000", 4_000),
    /** From 4,000 to 15,999 units. */
    LARGE("under_16000", 16_000),
    /** 16,000 units or more. */
    LARGEST("16000_and_more", Long.MAX_VALUE);

    private final String mLabel;
    private final long mEndUnits;

    SizeClass(final String label, final long endUnits) {
        mLabel = label;
        mEndUnits = endUnits;
    }

    /**
     * Returns the class of a request.
     *
     * @param units the units of the request
     * @return the class
     */
    static SizeClass of(final long units) {
        for (final SizeClass size : values()) {
            if (units < size.mEndUnits) {
                return size;
            }
        }
        return LARGEST;
    }

    /** Returns the name in metrics. */
    String label() {
        return mLabel;
    }
}
