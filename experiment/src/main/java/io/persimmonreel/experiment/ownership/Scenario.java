package io.persimmonreel.experiment.ownership;

import java.util.concurrent.TimeUnit;

/** Lists the failures under which the methods are compared, with the rate and time of requests. */
enum Scenario {
    NONE("no failure", 60, 50),
    ONE_DEAD("one of seven dead", 60, 50),
    SPLIT("4:3 split", 60, 50),
    ROLLING("rolling replacement in 60 s", 60, 50),
    LATE_LIST("host list 30 s late", 60, 50),
    CONFIGURATION_DOWN("configuration down 1 h", 3600, 1),
    ALL_REPLACED("all replaced at once", 60, 50);

    private static final int LARGER_SIDE_SIZE = 4;

    private final String mTitle;
    private final int mDurationSeconds;
    private final int mRequestsPerSecond;

    Scenario(final String title, final int seconds, final int requestsPerSecond) {
        mTitle = title;
        mDurationSeconds = seconds;
        mRequestsPerSecond = requestsPerSecond;
    }

    String title() {
        return mTitle;
    }

    long durationNanos() {
        return TimeUnit.SECONDS.toNanos(mDurationSeconds);
    }

    long intervalNanos() {
        return TimeUnit.SECONDS.toNanos(1) / mRequestsPerSecond;
    }

    /** Schedules the failure, which begins half a second after the first request. */
    void schedule(final Fleet fleet) {
        final long startNanos = TimeUnit.MILLISECONDS.toNanos(500);
        switch (this) {
            case ONE_DEAD:
                fleet.queue().scheduleAfter(startNanos, () -> fleet.kill(1));
                break;
            case SPLIT:
                fleet.queue()
                        .scheduleAfter(
                                startNanos,
                                () ->
                                        fleet.setLinks(
                                                (a, b) ->
                                                        a <= LARGER_SIDE_SIZE
                                                                == b <= LARGER_SIDE_SIZE));
                break;
            case ROLLING:
                for (int i = 0; i < Fleet.SIZE; i++) {
                    final int slot = i + 1;
                    final long atNanos = startNanos + i * durationNanos() / Fleet.SIZE;
                    fleet.queue().scheduleAfter(atNanos, () -> fleet.replaceGracefully(slot));
                }
                break;
            case LATE_LIST:
                // One host fails and a host with a new slot replaces it.
                fleet.setListDelay(TimeUnit.SECONDS.toNanos(30));
                fleet.queue().scheduleAfter(startNanos, () -> fleet.kill(1));
                fleet.queue()
                        .scheduleAfter(
                                startNanos + TimeUnit.SECONDS.toNanos(1),
                                () -> fleet.start(Fleet.SIZE + 1));
                break;
            case CONFIGURATION_DOWN:
                // The process that is started meanwhile gets the configuration from its peers.
                fleet.queue().scheduleAfter(durationNanos() / 2, () -> fleet.replaceGracefully(1));
                break;
            case ALL_REPLACED:
                for (int slot = 1; slot <= Fleet.SIZE; slot++) {
                    final int replaced = slot;
                    fleet.queue().scheduleAfter(startNanos, () -> fleet.replaceAbruptly(replaced));
                }
                break;
            default:
                break;
        }
    }
}
