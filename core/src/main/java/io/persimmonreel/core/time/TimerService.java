package io.persimmonreel.core.time;

import java.time.Duration;

/** Calls listeners at fixed intervals or once after a delay. Implementations are thread safe. */
public interface TimerService {
    /**
     * Subscribes a listener to a periodic timer.
     *
     * @param name the name of the timer in logs
     * @param interval the time between two calls, positive
     * @param listener the listener to call
     * @return the subscription, which ends when it is closed
     */
    Subscription every(String name, Duration interval, TimerListener listener);

    /**
     * Subscribes a listener to a single call after a delay.
     *
     * @param name the name of the timer in logs
     * @param delay the time before the call, not negative
     * @param listener the listener to call
     * @return the subscription, which ends when it is closed or after the call
     */
    Subscription after(String name, Duration delay, TimerListener listener);

    /** Receives the calls of a timer. */
    @FunctionalInterface
    interface TimerListener {
        /**
         * Handles a call of the timer.
         *
         * @param nowNanos the monotonic time of the call in nanoseconds
         */
        void onTimer(long nowNanos);
    }

    /** Represents a running timer; closing it ends the calls. */
    interface Subscription extends AutoCloseable {
        @Override
        void close();
    }
}
