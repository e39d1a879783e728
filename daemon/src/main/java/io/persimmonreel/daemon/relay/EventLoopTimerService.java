package io.persimmonreel.daemon.relay;

import io.netty.channel.EventLoop;
import io.persimmonreel.core.time.TimeSource;
import io.persimmonreel.core.time.TimerService;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.time.Duration;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/** Runs timer listeners on an event loop, so that they need no locks. */
final class EventLoopTimerService implements TimerService {
    private static final Logger LOG = System.getLogger(EventLoopTimerService.class.getName());

    private final EventLoop mLoop;
    private final TimeSource mTime;

    EventLoopTimerService(final EventLoop loop, final TimeSource time) {
        mLoop = loop;
        mTime = time;
    }

    @Override
    public Subscription every(
            final String name, final Duration interval, final TimerListener listener) {
        final long nanos = interval.toNanos();
        // After a pause of the process a fixed rate would call many times in a row.
        return subscription(
                mLoop.scheduleWithFixedDelay(
                        () -> call(name, listener), nanos, nanos, TimeUnit.NANOSECONDS));
    }

    @Override
    public Subscription after(
            final String name, final Duration delay, final TimerListener listener) {
        return subscription(
                mLoop.schedule(() -> call(name, listener), delay.toNanos(), TimeUnit.NANOSECONDS));
    }

    private static Subscription subscription(final Future<?> future) {
        return () -> future.cancel(false);
    }

    private void call(final String name, final TimerListener listener) {
        try {
            listener.onTimer(mTime.monotonicNanos());
        } catch (final RuntimeException e) {
            LOG.log(Level.ERROR, "timer: Listener " + name + " failed.", e);
        }
    }
}
