package io.persimmonreel.daemon.relay;

import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.persimmonreel.core.replica.Replica;
import io.persimmonreel.core.time.TimeSource;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;

/** Pools idle connections to replicas and opens new ones. All methods run on the event loop. */
final class UpstreamConnectionPool {
    /** The maximum number of idle connections per replica. */
    private static final int MAXIMUM_IDLE_CONNECTIONS = 12;

    /** The idle time within which no replica closes a connection. */
    private static final long RECENT_USE_NANOS = Duration.ofMillis(900).toNanos();

    private final ReplicaConnector mConnector;
    private final RelayDialect mDialect;
    private final TimeSource mTime;
    private final UnrequestedResponseListener mUnrequestedResponseListener;
    private final Map<Replica, Deque<UpstreamConnection>> mIdle = new HashMap<>();
    private final Set<UpstreamConnection> mIgnoring = new HashSet<>();
    private long mOpenedCount;

    /** Creates a pool whose unrequested responses are not reported. */
    UpstreamConnectionPool(
            final ReplicaConnector connector, final RelayDialect dialect, final TimeSource time) {
        this(connector, dialect, time, (response, nowNanos) -> {});
    }

    /**
     * Creates a pool.
     *
     * @param connector opens the connections
     * @param dialect reads the header fields of responses
     * @param time the clock
     * @param unrequestedResponseListener learns of responses that belong to no request
     */
    UpstreamConnectionPool(
            final ReplicaConnector connector,
            final RelayDialect dialect,
            final TimeSource time,
            final UnrequestedResponseListener unrequestedResponseListener) {
        mConnector = connector;
        mDialect = dialect;
        mTime = time;
        mUnrequestedResponseListener = unrequestedResponseListener;
    }

    UnrequestedResponseListener unrequestedResponseListener() {
        return mUnrequestedResponseListener;
    }

    /** Returns the number of a connection that is being opened, from 1. */
    long nextConnectionNumber() {
        mOpenedCount++;
        return mOpenedCount;
    }

    long nowNanos() {
        return mTime.monotonicNanos();
    }

    /** Returns the number of connections opened since the start. */
    long openedCount() {
        return mOpenedCount;
    }

    /**
     * Provides an idle connection that has not carried the attempt, or a new one.
     *
     * @param replica the replica
     * @param attemptId the attempt id of the request
     * @param recentOnly whether an idle connection may be reused only if it was used very recently
     * @param consumer receives the connection, or null and the reason of the failure
     */
    void acquire(
            final Replica replica,
            final String attemptId,
            final boolean recentOnly,
            final BiConsumer<UpstreamConnection, String> consumer) {
        final Deque<UpstreamConnection> idle = mIdle.get(replica);
        while (idle != null && !idle.isEmpty()) {
            final UpstreamConnection connection = idle.pollLast();
            final long age = nowNanos() - connection.idleSinceNanos();
            final boolean usable =
                    connection.isIdle()
                            && age < connection.idleLimitNanos()
                            && !connection.hasCarried(attemptId);
            if (usable && (!recentOnly || age < RECENT_USE_NANOS)) {
                consumer.accept(connection, null);
                return;
            }
            connection.close();
        }
        open(replica, consumer);
    }

    /** Returns a connection to the pool after its exchange. */
    void release(final UpstreamConnection connection) {
        final Deque<UpstreamConnection> idle =
                mIdle.computeIfAbsent(connection.replica(), replica -> new ArrayDeque<>());
        if (idle.size() >= MAXIMUM_IDLE_CONNECTIONS) {
            idle.pollFirst().close();
        }
        idle.addLast(connection);
    }

    void onClosed(final UpstreamConnection connection) {
        mIgnoring.remove(connection);
        final Deque<UpstreamConnection> idle = mIdle.get(connection.replica());
        if (idle != null && idle.remove(connection) && idle.isEmpty()) {
            mIdle.remove(connection.replica());
        }
    }

    /**
     * Returns whether an idle connection to a replica is open, which shows that the replica is
     * alive.
     */
    boolean hasOpenIdle(final Replica replica) {
        final Deque<UpstreamConnection> idle = mIdle.get(replica);
        return idle != null && idle.stream().anyMatch(UpstreamConnection::isOpen);
    }

    /** Watches a connection that ignores the rest of a response. */
    void onIgnoring(final UpstreamConnection connection) {
        mIgnoring.add(connection);
    }

    /** Closes the connections that exceeded their idle limit or ignore a response for too long. */
    void closeExpired() {
        final long now = nowNanos();
        final List<UpstreamConnection> expired = new ArrayList<>();
        mIgnoring.removeIf(connection -> !connection.isIgnoring());
        mIgnoring.stream().filter(c -> c.isIgnoringTooLong(now)).forEach(expired::add);
        for (final Deque<UpstreamConnection> idle : mIdle.values()) {
            for (final UpstreamConnection connection : idle) {
                if (now - connection.idleSinceNanos() >= connection.idleLimitNanos()) {
                    expired.add(connection);
                }
            }
        }
        expired.forEach(UpstreamConnection::close);
    }

    private void open(
            final Replica replica, final BiConsumer<UpstreamConnection, String> consumer) {
        final UpstreamConnection connection = new UpstreamConnection(replica, this, mDialect);
        mConnector.connect(
                new InetSocketAddress(replica.entry().host(), replica.entry().port()),
                new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(final Channel channel) {
                        channel.pipeline()
                                .addLast(
                                        new HttpRequestEncoder(),
                                        new UpstreamResponseDecoder(connection),
                                        connection);
                    }
                },
                failure -> {
                    if (failure == null && connection.isOpen()) {
                        consumer.accept(connection, null);
                    } else {
                        consumer.accept(null, String.valueOf(failure));
                    }
                });
    }
}
