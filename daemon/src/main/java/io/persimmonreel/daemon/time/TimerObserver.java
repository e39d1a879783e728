package io.persimmonreel.daemon.time;

/** Observes the runs of timers. */
public interface TimerObserver {
    /** Observes nothing. */
    TimerObserver NONE = (timer, nanos) -> {};

    /**
     * Handles a run that has ended.
     *
     * @param timer the name of the timer
     * @param nanos the time in nanoseconds that the run took
     */
    void onRun(String timer, long nanos);
}
