package io.persimmonreel.daemon.time;

import io.persimmonreel.core.time.TimeSource;
import io.persimmonreel.core.time.TimerService;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.time.Duration;
import java.util.Objects;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Calls timer listeners on a thread pool or an event loop.
 *
 * <p>If a listener throws an exception or an error, it is logged and the listener stays subscribed.
 * Instances are thread safe.
 */
public final class ScheduledTimerService implements TimerService, AutoCloseable {
    private static final Logger LOG = System.getLogger(ScheduledTimerService.class.getName());

    private final TimeSource mTime;
    private final ScheduledExecutorService mExecutor;
    private final boolean mFixedRate;
    private volatile TimerObserver mObserver = TimerObserver.NONE;

    /**
     * Creates a timer service with its own threads, which calls listeners at a fixed rate.
     *
     * @param time the clock that is passed to listeners
     * @param threads the number of threads, at least 1
     */
    public ScheduledTimerService(final TimeSource time, final int threads) {
        this(time, threadPool(threads), true);
    }

    /**
     * Creates a timer service on a given executor, such as an event loop. It calls listeners at
     * multiples of their interval, so that listeners with common multiples share a wake-up, and
     * skips calls that a pause of the process delayed.
     *
     * @param time the clock that is passed to listeners
     * @param executor runs the listeners; closing the service shuts it down
     */
    public ScheduledTimerService(final TimeSource time, final ScheduledExecutorService executor) {
        this(time, executor, false);
    }

    private ScheduledTimerService(
            final TimeSource time,
            final ScheduledExecutorService executor,
            final boolean fixedRate) {
        mTime = Objects.requireNonNull(time, "time");
        mExecutor = Objects.requireNonNull(executor, "executor");
        mFixedRate = fixedRate;
    }

    /**
     * Sets what observes the runs of listeners.
     *
     * @param observer the observer
     */
    public void observe(final TimerObserver observer) {
        mObserver = Objects.requireNonNull(observer, "observer");
    }

    private static ScheduledExecutorService threadPool(final int threads) {
        final AtomicInteger number = new AtomicInteger();
        final ScheduledThreadPoolExecutor pool =
                new ScheduledThreadPoolExecutor(
                        threads,
                        task -> {
                            final Thread thread =
                                    new Thread(task, "timer-" + number.incrementAndGet());
                            thread.setDaemon(true);
                            return thread;
                        });
        pool.setRemoveOnCancelPolicy(true);
        return pool;
    }

    @Override
    public Subscription every(
            final String name, final Duration interval, final TimerListener listener) {
        final long nanos = interval.toNanos();
        if (mFixedRate) {
            return cancelOnClose(
                    mExecutor.scheduleAtFixedRate(
                            () -> notifyListener(name, listener),
                            nanos,
                            nanos,
                            TimeUnit.NANOSECONDS));
        }
        final AtomicBoolean cancelled = new AtomicBoolean();
        scheduleAtMultiple(name, nanos, listener, cancelled);
        return () -> cancelled.set(true);
    }

    private void scheduleAtMultiple(
            final String name,
            final long intervalNanos,
            final TimerListener listener,
            final AtomicBoolean cancelled) {
        final long now = mTime.monotonicNanos();
        mExecutor.schedule(
                () -> {
                    if (cancelled.get()) {
                        return;
                    }
                    try {
                        notifyListener(name, listener);
                    } finally {
                        scheduleAtMultiple(name, intervalNanos, listener, cancelled);
                    }
                },
                intervalNanos - Math.floorMod(now, intervalNanos),
                TimeUnit.NANOSECONDS);
    }

    @Override
    public Subscription after(
            final String name, final Duration delay, final TimerListener listener) {
        return cancelOnClose(
                mExecutor.schedule(
                        () -> notifyListener(name, listener),
                        delay.toNanos(),
                        TimeUnit.NANOSECONDS));
    }

    @Override
    public void close() {
        mExecutor.shutdownNow();
    }

    private static Subscription cancelOnClose(final Future<?> future) {
        return () -> future.cancel(false);
    }

    private void notifyListener(final String name, final TimerListener listener) {
        final long beginNanos = mTime.monotonicNanos();
        try {
            listener.onTimer(beginNanos);
            mObserver.onRun(name, mTime.monotonicNanos() - beginNanos);
        } catch (final RuntimeException | Error e) {
            logFailure(name, e);
        }
    }

    /** Logs a failure; an error such as exhausted memory may also end the logging. */
    private static void logFailure(final String name, final Throwable failure) {
        try {
            LOG.log(Level.ERROR, "timer: Listener " + name + " failed.", failure);
        } catch (final RuntimeException | Error e) {
            return;
        }
    }
}
