package io.persimmonreel.fakes;

import com.fasterxml.jackson.databind.JsonNode;
import io.persimmonreel.fakes.Fault.Kind;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import ratpack.exec.Downstream;
import ratpack.exec.Promise;
import ratpack.handling.Chain;
import ratpack.handling.Context;

/**
 * Fakes the platform: serves the configuration and the list of hosts over HTTP.
 *
 * <p>Daemons only read: {@code GET /v1/config} and {@code GET /v1/hosts}. A configuration read with
 * {@code wait} is a watch: it waits for a version newer than {@code after} and is answered with
 * status 304 if none is published in that time. Tests and operators' scripts write with {@code PUT
 * /v1/config} (the operator text) and {@code PUT /v1/hosts} (a JSON array of hosts).
 */
public final class FakePlatform extends FakeServer {
    private static final int MAXIMUM_READS_PER_SECOND = 2_000;
    private static final int MAXIMUM_WAIT_SECONDS = 60;
    private static final int MAXIMUM_HOST_LISTS = 4_096;
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long MILLIS_PER_SECOND = 1_000;

    private record HostList(long version, long publishedNanos, List<HostEntry> hosts) {}

    // Not the monitor of this object: FakeServer holds that one while it waits for the handler
    // threads to end, so a handler that needed it would deadlock.
    private final Object mLock = new Object();
    private final TreeMap<Long, String> mTextsByVersion = new TreeMap<>();
    private final Deque<HostList> mHostLists = new ArrayDeque<>();
    private final List<Watch> mWatches = new ArrayList<>();
    private final ReadRateLimiter mReadLimiter = new ReadRateLimiter(MAXIMUM_READS_PER_SECOND);
    private final AtomicLong mAcceptedReads = new AtomicLong();
    private final AtomicLong mRefusedReads = new AtomicLong();

    /**
     * Creates a platform on the loopback address, without a configuration or hosts.
     *
     * @param port the port; 0 selects a free port
     */
    public FakePlatform(final int port) {
        this("127.0.0.1", port);
    }

    /**
     * Creates a platform without a configuration or hosts.
     *
     * @param host the IP number to listen on
     * @param port the port; 0 selects a free port
     */
    public FakePlatform(final String host, final int port) {
        super("platform", host, port);
        mHostLists.add(new HostList(1, System.nanoTime(), List.of()));
    }

    /**
     * Publishes an operator text under the next version.
     *
     * @param text the operator text
     * @return the version; the first one is 1
     */
    public long publish(final String text) {
        final long version;
        synchronized (mLock) {
            version = mTextsByVersion.isEmpty() ? 1 : mTextsByVersion.lastKey() + 1;
        }
        publish(version, text);
        return version;
    }

    /**
     * Publishes an operator text under the given version.
     *
     * @param version the version
     * @param text the operator text
     */
    public void publish(final long version, final String text) {
        synchronized (mLock) {
            mTextsByVersion.put(version, text);
        }
        wakeWatches();
    }

    /**
     * Replaces the published host list.
     *
     * @param hosts all hosts of the new list
     */
    public void publishHosts(final List<HostEntry> hosts) {
        synchronized (mLock) {
            final long version = mHostLists.getLast().version() + 1;
            mHostLists.addLast(new HostList(version, System.nanoTime(), List.copyOf(hosts)));
            if (mHostLists.size() > MAXIMUM_HOST_LISTS) {
                mHostLists.removeFirst();
            }
        }
    }

    /**
     * Starts or ends an outage, during which connections are closed without a response.
     *
     * @param down whether the platform is down
     */
    public void setDown(final boolean down) {
        faults().remove(Kind.DOWN);
        if (down) {
            faults().add(Fault.of(Kind.DOWN));
        }
        wakeWatches();
    }

    /**
     * Serves no configuration newer than a version until {@link #serveNewest} is called.
     *
     * @param version the newest version to serve
     */
    public void serveAtMost(final long version) {
        faults().add(Fault.of(Kind.STALE).withVersion(version));
    }

    /** Serves the newest configuration again, after {@link #serveAtMost}. */
    public void serveNewest() {
        faults().remove(Kind.STALE);
        wakeWatches();
    }

    /**
     * Serves the host list as it was a given time ago.
     *
     * @param millis the age of the served list in milliseconds; 0 serves the newest list
     */
    public void hostLag(final long millis) {
        faults().remove(Kind.HOST_LAG);
        faults().add(Fault.of(Kind.HOST_LAG).withMillis(millis));
    }

    /**
     * Returns the number of accepted reads of the configuration and of the host list.
     *
     * @return the number of reads, without those refused by the rate limit
     */
    public long acceptedReads() {
        return mAcceptedReads.get();
    }

    /**
     * Returns the number of reads refused by the rate limit.
     *
     * @return the number of responses with status 429
     */
    public long refusedReads() {
        return mRefusedReads.get();
    }

    @Override
    protected void onFaultsChanged() {
        wakeWatches();
    }

    @Override
    protected void addRoutes(final Chain chain) throws Exception {
        chain.path(
                "v1/config",
                context ->
                        context.byMethod(
                                spec ->
                                        spec.get(
                                                        () ->
                                                                handleRead(
                                                                        context,
                                                                        () -> readConfig(context)))
                                                .put(() -> putConfig(context))));
        chain.path(
                "v1/hosts",
                context ->
                        context.byMethod(
                                spec ->
                                        spec.get(
                                                        () ->
                                                                handleRead(
                                                                        context,
                                                                        () -> sendHosts(context)))
                                                .put(() -> putHosts(context))));
    }

    private interface ReadHandler {
        void handle() throws IOException;
    }

    /** Handles a read unless the platform is down or the rate limit is reached. */
    private void handleRead(final Context context, final ReadHandler handler) throws IOException {
        if (faults().consume(Kind.DOWN).isPresent()) {
            disconnect(context);
            return;
        }
        if (!mReadLimiter.tryRead(System.nanoTime())) {
            mRefusedReads.incrementAndGet();
            sendJson(context, 429, Map.of("error", "too many reads"));
            return;
        }
        mAcceptedReads.incrementAndGet();
        final Optional<Fault> delay = faults().active(Kind.DELAY);
        if (delay.isEmpty()) {
            handler.handle();
            return;
        }
        Promise.<Boolean>async(
                        downstream ->
                                schedule(delay.get().millis(), () -> downstream.success(true)))
                .then(ignored -> handler.handle());
    }

    private void readConfig(final Context context) throws IOException {
        final long after = numberParameter(context, "after");
        final long waitSeconds = Math.min(MAXIMUM_WAIT_SECONDS, numberParameter(context, "wait"));
        if (servedVersion() > after || waitSeconds <= 0) {
            sendConfig(context, after);
            return;
        }
        mReadLimiter.watchStarted();
        Promise.<Boolean>async(
                        downstream -> {
                            final Watch watch = new Watch(downstream);
                            addWatch(after, watch);
                            schedule(waitSeconds * MILLIS_PER_SECOND, watch);
                            channel(context).closeFuture().addListener(closed -> watch.run());
                        })
                .then(
                        ignored -> {
                            if (faults().active(Kind.DOWN).isPresent()) {
                                disconnect(context);
                            } else {
                                sendConfig(context, after);
                            }
                        });
    }

    /** Ends the wait of one watch when it is run; later runs have no effect. */
    private final class Watch implements Runnable {
        private final AtomicBoolean mDone = new AtomicBoolean();
        private final Downstream<? super Boolean> mDownstream;

        Watch(final Downstream<? super Boolean> downstream) {
            mDownstream = downstream;
        }

        @Override
        public void run() {
            if (mDone.compareAndSet(false, true)) {
                mReadLimiter.watchEnded();
                synchronized (mLock) {
                    mWatches.remove(this);
                }
                mDownstream.success(true);
            }
        }
    }

    /** Registers a watch, or ends it at once if a newer version is already served. */
    private void addWatch(final long after, final Watch watch) {
        final boolean published;
        synchronized (mLock) {
            published = servedVersion() > after;
            if (!published) {
                mWatches.add(watch);
            }
        }
        if (published) {
            watch.run();
        }
    }

    private void wakeWatches() {
        final List<Watch> watches;
        synchronized (mLock) {
            watches = List.copyOf(mWatches);
            mWatches.clear();
        }
        watches.forEach(Runnable::run);
    }

    /** Returns the version that readers see, 0 if there is none. */
    private long servedVersion() {
        synchronized (mLock) {
            if (mTextsByVersion.isEmpty()) {
                return 0;
            }
            final Optional<Fault> stale = faults().active(Kind.STALE);
            if (stale.isEmpty()) {
                return mTextsByVersion.lastKey();
            }
            final Long version = mTextsByVersion.floorKey(stale.get().version());
            return version == null ? 0 : version;
        }
    }

    private void sendConfig(final Context context, final long after) throws IOException {
        final long version = servedVersion();
        if (version == 0) {
            sendJson(context, 404, Map.of("error", "no configuration was published"));
        } else if (version <= after && numberParameter(context, "wait") > 0) {
            context.getResponse().status(304).send();
        } else {
            final String text;
            synchronized (mLock) {
                text = mTextsByVersion.get(version);
            }
            sendJson(context, 200, Map.of("version", version, "text", text));
        }
    }

    private void sendHosts(final Context context) throws IOException {
        final long lag = faults().active(Kind.HOST_LAG).map(Fault::millis).orElse(0L);
        final long asOfNanos = System.nanoTime() - lag * NANOS_PER_MILLI;
        final HostList list;
        synchronized (mLock) {
            HostList found = mHostLists.getFirst();
            for (final HostList candidate : mHostLists) {
                if (candidate.publishedNanos() - asOfNanos <= 0) {
                    found = candidate;
                }
            }
            list = found;
        }
        sendJson(context, 200, Map.of("version", list.version(), "hosts", list.hosts()));
    }

    private void putConfig(final Context context) {
        context.getRequest()
                .getBody()
                .then(data -> sendJson(context, 200, Map.of("version", publish(data.getText()))));
    }

    private void putHosts(final Context context) {
        readJson(context)
                .then(
                        node -> {
                            final List<HostEntry> hosts = new ArrayList<>();
                            for (final JsonNode host : node) {
                                hosts.add(
                                        new HostEntry(
                                                host.path("slot").asInt(-1),
                                                host.path("address").asText(),
                                                host.path("zone").asText(),
                                                host.path("state").asText("live")));
                            }
                            publishHosts(hosts);
                            sendJson(context, 200, Map.of("hosts", hosts.size()));
                        });
    }

    /** Returns a number from the query string, 0 if it is missing or not a number. */
    private static long numberParameter(final Context context, final String name) {
        final String value = context.getRequest().getQueryParams().get(name);
        return value == null || !value.matches("\\d{1,18}") ? 0 : Long.parseLong(value);
    }
}
