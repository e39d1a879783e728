package io.persimmonreel.daemon.relay;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelPromise;
import io.netty.channel.DefaultChannelPromise;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.util.concurrent.AbstractEventExecutor;
import io.netty.util.concurrent.Future;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;

/** Holds the tasks of an event loop, which run only in {@link #runTasks}. Not thread safe. */
final class VirtualEventLoop extends AbstractEventExecutor implements EventLoop {
    private static final int MAXIMUM_TASKS = 100_000;

    private final Deque<Runnable> mTasks = new ArrayDeque<>();

    /** Runs all tasks, including those that they add, and returns whether there were any. */
    boolean runTasks() {
        int count = 0;
        while (!mTasks.isEmpty()) {
            if (++count > MAXIMUM_TASKS) {
                throw new AssertionError("the event loop does not come to rest");
            }
            safeExecute(mTasks.poll());
        }
        return count > 0;
    }

    @Override
    public void execute(final Runnable task) {
        mTasks.add(task);
    }

    @Override
    public EventLoopGroup parent() {
        return null;
    }

    @Override
    public EventLoop next() {
        return this;
    }

    @Override
    public boolean inEventLoop(final Thread thread) {
        return true;
    }

    @Override
    public ChannelFuture register(final Channel channel) {
        return register(new DefaultChannelPromise(channel, this));
    }

    @Override
    public ChannelFuture register(final ChannelPromise promise) {
        promise.channel().unsafe().register(this, promise);
        return promise;
    }

    @Deprecated
    @Override
    public ChannelFuture register(final Channel channel, final ChannelPromise promise) {
        channel.unsafe().register(this, promise);
        return promise;
    }

    @Override
    public boolean isShuttingDown() {
        return false;
    }

    @Override
    public Future<?> shutdownGracefully(
            final long quietPeriod, final long timeout, final TimeUnit unit) {
        throw new UnsupportedOperationException();
    }

    @Override
    public Future<?> terminationFuture() {
        throw new UnsupportedOperationException();
    }

    @Deprecated
    @Override
    public void shutdown() {
        throw new UnsupportedOperationException();
    }

    @Override
    public boolean isShutdown() {
        return false;
    }

    @Override
    public boolean isTerminated() {
        return false;
    }

    @Override
    public boolean awaitTermination(final long timeout, final TimeUnit unit) {
        return false;
    }
}
