package io.persimmonreel.daemon.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.persimmonreel.core.time.TimerService;
import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.net.URI;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import ratpack.exec.ExecController;
import ratpack.exec.Promise;
import ratpack.http.client.HttpClient;
import ratpack.http.client.ReceivedResponse;

/**
 * Reads the configuration service and the host list of the platform over HTTP, within the rate
 * limit of the service.
 *
 * <p>A few daemons watch the configuration service: they keep one long poll open. The others poll
 * every {@value #POLL_SECONDS} s, since each waiting watch counts against the rate limit. Instances
 * are thread safe.
 */
public final class PlatformClient implements AutoCloseable {
    private static final Logger LOG = System.getLogger(PlatformClient.class.getName());

    /** Fits the largest configuration text with its JSON escapes and the fields around it. */
    private static final int MAXIMUM_RESPONSE_BYTES = 4 << 20;

    private static final int HTTP_OK = 200;
    private static final int HTTP_NOT_MODIFIED = 304;
    private static final int WATCH_SECONDS = 8;
    private static final int POLL_SECONDS = 30;

    /** A leaving host must get no new work after 3 s at most, so the list is read every second. */
    private static final Duration HOSTS_INTERVAL = Duration.ofSeconds(1);

    /** The interval of checks whether a read of the configuration is due. */
    private static final Duration CONFIGURATION_CHECK_INTERVAL = Duration.ofMillis(200);

    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);
    private static final Duration CONFIGURATION_READ_TIMEOUT =
            Duration.ofSeconds(WATCH_SECONDS).plusSeconds(2);
    private static final Duration HOSTS_READ_TIMEOUT = Duration.ofSeconds(3);

    /**
     * Failed reads are repeated after one to two seconds, spread so that the daemons of a fleet do
     * not retry at the same time.
     */
    private static final long RETRY_NANOS = Duration.ofSeconds(1).toNanos();

    private final URI mBase;
    private final ExecController mExec;
    private final HttpClient mHttp;
    private final PlatformListener mListener;
    private final Random mRandom;
    private final ObjectMapper mMapper = new ObjectMapper();
    private final AtomicBoolean mConfigurationReadInProgress = new AtomicBoolean();
    private final AtomicBoolean mHostsReadInProgress = new AtomicBoolean();
    private final AtomicLong mNextReadNanos = new AtomicLong(Long.MIN_VALUE);
    private final List<TimerService.Subscription> mSubscriptions = new ArrayList<>();
    private volatile boolean mClosed;

    /**
     * Creates a client.
     *
     * @param base the address of the platform, such as {@code http://127.0.0.1:8400}
     * @param exec runs the HTTP calls
     * @param listener receives what was read
     * @param random supplies the jitter of polls and retries
     * @throws IOException if the HTTP client can't be created
     */
    public PlatformClient(
            final URI base,
            final ExecController exec,
            final PlatformListener listener,
            final Random random)
            throws IOException {
        mBase = Objects.requireNonNull(base, "base");
        mExec = Objects.requireNonNull(exec, "exec");
        mListener = Objects.requireNonNull(listener, "listener");
        mRandom = Objects.requireNonNull(random, "random");
        try {
            mHttp =
                    HttpClient.of(
                            spec ->
                                    spec.execController(exec)
                                            .poolSize(2)
                                            .connectTimeout(CONNECT_TIMEOUT)
                                            .readTimeout(CONFIGURATION_READ_TIMEOUT)
                                            .maxContentLength(MAXIMUM_RESPONSE_BYTES));
        } catch (final Exception e) {
            throw new IOException("platform: the HTTP client can't be created", e);
        }
    }

    /**
     * Starts to read the configuration and the host list.
     *
     * @param timers triggers the reads
     */
    public void start(final TimerService timers) {
        mSubscriptions.add(
                timers.every(
                        "platform-configuration",
                        CONFIGURATION_CHECK_INTERVAL,
                        this::readConfiguration));
        mSubscriptions.add(timers.every("platform-hosts", HOSTS_INTERVAL, now -> readHosts()));
        readHosts();
    }

    /**
     * Returns the longest time in which a watching daemon learns of a change after its connection
     * has become silent: the read times out, and the next one is made after the longest retry
     * delay.
     */
    static Duration longestDelayOfASilentConnection() {
        return CONFIGURATION_READ_TIMEOUT
                .plusNanos(2 * RETRY_NANOS)
                .plus(CONFIGURATION_CHECK_INTERVAL);
    }

    @Override
    public void close() {
        mClosed = true;
        mSubscriptions.forEach(TimerService.Subscription::close);
        mHttp.close();
    }

    private void readConfiguration(final long nowNanos) {
        if (mClosed
                || nowNanos < mNextReadNanos.get()
                || !mConfigurationReadInProgress.compareAndSet(false, true)) {
            return;
        }
        final long accepted = mListener.acceptedVersion();
        final boolean watch = accepted > 0 && mListener.isWatcher();
        final String query = watch ? "?after=" + accepted + "&wait=" + WATCH_SECONDS : "";
        mNextReadNanos.set(nowNanos + delayNanos(accepted, watch));
        execute(
                mHttp.get(mBase.resolve("/v1/config" + query)),
                response -> handleConfiguration(response),
                failure -> handleConfigurationFailure(failure, nowNanos),
                mConfigurationReadInProgress);
    }

    private long delayNanos(final long accepted, final boolean watch) {
        if (watch || accepted == 0) {
            return RETRY_NANOS;
        }
        return Duration.ofSeconds(POLL_SECONDS).toNanos() + jitterNanos();
    }

    private void handleConfiguration(final ReceivedResponse response) throws IOException {
        if (response.getStatusCode() == HTTP_NOT_MODIFIED) {
            mListener.onConfigurationReadResult(Optional.empty());
            mNextReadNanos.set(Long.MIN_VALUE);
            return;
        }
        final JsonNode node = parse(response);
        mListener.onConfigurationReadResult(Optional.empty());
        mListener.onConfiguration(node.path("version").asLong(), node.path("text").asText());
    }

    private void handleConfigurationFailure(final Throwable failure, final long nowNanos) {
        mNextReadNanos.set(nowNanos + RETRY_NANOS + jitterNanos());
        mListener.onConfigurationReadResult(Optional.of(String.valueOf(failure.getMessage())));
    }

    private void readHosts() {
        if (mClosed || !mHostsReadInProgress.compareAndSet(false, true)) {
            return;
        }
        execute(
                mHttp.request(
                        mBase.resolve("/v1/hosts"),
                        spec -> spec.get().readTimeout(HOSTS_READ_TIMEOUT)),
                response -> mListener.onHosts(parseHosts(parse(response))),
                failure -> LOG.log(Level.DEBUG, "platform: The host list was not read. " + failure),
                mHostsReadInProgress);
    }

    private static HostList parseHosts(final JsonNode node) {
        final List<HostEntry> entries = new ArrayList<>();
        for (final JsonNode host : node.path("hosts")) {
            entries.add(
                    new HostEntry(
                            host.path("slot").asInt(),
                            host.path("address").asText(),
                            host.path("zone").asText(),
                            "leaving".equals(host.path("state").asText())));
        }
        return new HostList(node.path("version").asLong(), entries);
    }

    private JsonNode parse(final ReceivedResponse response) throws IOException {
        if (response.getStatusCode() != HTTP_OK) {
            throw new IOException("receive: platform: status " + response.getStatusCode());
        }
        return mMapper.readTree(response.getBody().getBytes());
    }

    private long jitterNanos() {
        return (long) (mRandom.nextDouble() * RETRY_NANOS);
    }

    private void execute(
            final Promise<ReceivedResponse> call,
            final ResponseHandler handler,
            final Consumer<Throwable> failure,
            final AtomicBoolean inProgress) {
        mExec.fork()
                .onError(failure::accept)
                .onComplete(execution -> inProgress.set(false))
                .start(execution -> call.then(handler::handle));
    }

    /** Handles a response of the platform and may fail to parse it. */
    @FunctionalInterface
    private interface ResponseHandler {
        void handle(ReceivedResponse response) throws IOException;
    }
}
