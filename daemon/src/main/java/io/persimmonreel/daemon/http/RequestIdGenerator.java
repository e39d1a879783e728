package io.persimmonreel.daemon.http;

import io.persimmonreel.core.peer.Incarnation;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;

/** Generates request ids from the incarnation and a counter, unique in the fleet. */
public final class RequestIdGenerator implements Supplier<String> {
    private final String mPrefix;
    private final AtomicLong mCounter = new AtomicLong();

    /**
     * Creates a generator.
     *
     * @param incarnation this daemon's incarnation
     */
    public RequestIdGenerator(final Incarnation incarnation) {
        mPrefix = incarnation + "-";
    }

    @Override
    public String get() {
        return mPrefix + mCounter.incrementAndGet();
    }
}
