package io.persimmonreel.daemon.request;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/** Runs a task on its own thread after each wake-up, and at least every 10 ms unless idle. */
final class PollLoop implements AutoCloseable {
    /**
     * The scheduler must be polled every 10 ms. The margin for a late wake-up is only 1 ms, since
     * each wake-up costs CPU time and the CPU share of an idle daemon is limited.
     */
    private static final long POLL_INTERVAL_MILLIS = 9;

    /** Without requests, 200 polls a second took 0.9% of a core, half of the control CPU budget. */
    private static final long IDLE_POLL_INTERVAL_MILLIS = 100;

    private static final Logger LOG = System.getLogger(PollLoop.class.getName());

    private final Semaphore mWakeUps = new Semaphore(0);
    private final BooleanSupplier mIdle;
    private final Thread mThread;
    private volatile boolean mClosed;

    /**
     * Creates a loop.
     *
     * @param task the task to run
     * @param idle returns true while no request is in progress
     */
    PollLoop(final Runnable task, final BooleanSupplier idle) {
        mIdle = idle;
        mThread = new Thread(() -> run(task), "schedule-poll");
        mThread.setDaemon(true);
    }

    void start() {
        mThread.start();
    }

    void wake() {
        if (mWakeUps.availablePermits() == 0) {
            mWakeUps.release();
        }
    }

    @Override
    public void close() {
        mClosed = true;
        wake();
    }

    private void run(final Runnable task) {
        while (!mClosed) {
            try {
                final long wait =
                        mIdle.getAsBoolean() ? IDLE_POLL_INTERVAL_MILLIS : POLL_INTERVAL_MILLIS;
                if (mWakeUps.tryAcquire(wait, TimeUnit.MILLISECONDS)) {
                    mWakeUps.drainPermits();
                }
                task.run();
            } catch (final InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            } catch (final RuntimeException e) {
                // A failure in one decision must not stop the decisions on all other requests.
                LOG.log(Level.ERROR, "schedule: polling the scheduler failed", e);
            }
        }
    }
}
