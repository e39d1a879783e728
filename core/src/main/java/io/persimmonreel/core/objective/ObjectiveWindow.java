package io.persimmonreel.core.objective;

import java.time.Duration;

/** Lists the time windows over which the burn rate of an error budget is reported. */
public enum ObjectiveWindow {
    FIVE_MINUTES(Duration.ofMinutes(5)),
    THIRTY_MINUTES(Duration.ofMinutes(30)),
    ONE_HOUR(Duration.ofHours(1)),
    SIX_HOURS(Duration.ofHours(6));

    private final Duration mLength;

    ObjectiveWindow(final Duration length) {
        mLength = length;
    }

    /**
     * Returns the length of the window.
     *
     * @return the length
     */
    public Duration length() {
        return mLength;
    }
}
