package io.persimmonreel.fakes;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.channel.Channel;
import io.persimmonreel.fakes.Fault.Kind;
import java.io.IOException;
import java.net.InetAddress;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import ratpack.exec.Promise;
import ratpack.handling.Chain;
import ratpack.handling.Context;
import ratpack.server.RatpackServer;

/**
 * Runs the HTTP server of a fake, which can crash and restart on the same port.
 *
 * <p>A crash closes the listening socket, so that connection attempts are refused, and all open
 * connections. {@code POST /faults} adds faults, see {@link Fault#ofJson}.
 */
public abstract class FakeServer implements AutoCloseable {
    private static final System.Logger LOGGER = System.getLogger(FakeServer.class.getName());
    private static final int MAXIMUM_BODY_BYTES = 16 << 20;
    private static final long RESTART_RETRY_MILLIS = 50;

    /**
     * Delay before a crash; lets the response to the request that asked for it reach the caller.
     */
    private static final long CRASH_DELAY_MILLIS = 20;

    private final String mName;
    private final String mHost;
    private final FaultPlan mFaults = new FaultPlan();
    private final ObjectMapper mJson = new ObjectMapper();
    private final ScheduledExecutorService mScheduler;
    private volatile int mPort;
    private RatpackServer mServer;
    private boolean mStopped;

    /**
     * Creates a server that is not started.
     *
     * @param name the name for exception messages and threads
     * @param host the IP number to listen on
     * @param port the port; 0 selects a free port
     */
    protected FakeServer(final String name, final String host, final int port) {
        mName = name;
        mHost = host;
        mPort = port;
        mScheduler =
                Executors.newSingleThreadScheduledExecutor(
                        task -> {
                            final Thread thread = new Thread(task, "fake-" + name);
                            thread.setDaemon(true);
                            return thread;
                        });
    }

    /**
     * Starts listening.
     *
     * @throws IOException if the port can't be bound
     */
    public synchronized void start() throws IOException {
        mServer = listen();
        onStart(mScheduler);
    }

    /** Stops listening and closes all connections. */
    public synchronized void stop() {
        mStopped = true;
        mScheduler.shutdownNow();
        stopServer();
    }

    @Override
    public void close() {
        stop();
    }

    /**
     * Returns the port.
     *
     * @return the port, which stays the same after a crash
     */
    public int port() {
        return mPort;
    }

    /**
     * Returns the address on which the server listens.
     *
     * @return the address as {@code ip:port}
     */
    public String address() {
        return mHost + ":" + mPort;
    }

    /**
     * Returns the faults to inject.
     *
     * @return the fault plan; changes to it take effect at once
     */
    public FaultPlan faults() {
        return mFaults;
    }

    /**
     * Closes all connections, discards the state in memory and refuses connections for a time.
     * Connections are refused when this method returns.
     *
     * @param downtime the time until the server listens again
     */
    public synchronized void crash(final Duration downtime) {
        if (mStopped || mServer == null) {
            return;
        }
        onCrash();
        stopServer();
        mScheduler.schedule(this::restart, downtime.toMillis(), TimeUnit.MILLISECONDS);
    }

    /**
     * Adds the handlers of this fake.
     *
     * @param chain the chain to add to
     * @throws Exception if a handler can't be added
     */
    protected abstract void addRoutes(Chain chain) throws Exception;

    /**
     * Starts periodic tasks; called once, when the server starts.
     *
     * @param scheduler the executor for the tasks; it is shut down when the server stops
     */
    protected void onStart(final ScheduledExecutorService scheduler) {}

    /** Called after faults were added or cleared over HTTP, to update waiting requests. */
    protected void onFaultsChanged() {}

    /** Discards the state that a crashed process loses. */
    protected void onCrash() {}

    /**
     * Schedules a crash and returns at once, for handlers and periodic tasks.
     *
     * @param downtime the time until the server listens again
     */
    protected void scheduleCrash(final Duration downtime) {
        mScheduler.schedule(() -> crash(downtime), CRASH_DELAY_MILLIS, TimeUnit.MILLISECONDS);
    }

    /**
     * Runs a task after a delay.
     *
     * @param delayMillis the delay in milliseconds
     * @param task the task
     */
    protected void schedule(final long delayMillis, final Runnable task) {
        mScheduler.schedule(task, delayMillis, TimeUnit.MILLISECONDS);
    }

    /**
     * Reads the request body as JSON.
     *
     * @param context the request's context
     * @return the parsed body
     */
    protected Promise<JsonNode> readJson(final Context context) {
        return context.getRequest().getBody().map(data -> mJson.readTree(data.getBytes()));
    }

    /**
     * Sends a JSON response.
     *
     * @param context the request's context
     * @param status the HTTP status
     * @param value the value to send as JSON
     * @throws IOException if the value can't be serialized
     */
    protected void sendJson(final Context context, final int status, final Object value)
            throws IOException {
        context.getResponse().status(status);
        context.getResponse().send("application/json", mJson.writeValueAsBytes(value));
    }

    /**
     * Leaves a request without a response until its connection closes.
     *
     * @param context the request's context
     */
    protected void hang(final Context context) {
        Promise.async(
                        downstream ->
                                channel(context)
                                        .closeFuture()
                                        .addListener(future -> downstream.success("closed")))
                .then(ignored -> context.getResponse().send());
    }

    /**
     * Closes the connection of a request without a response.
     *
     * @param context the request's context
     */
    protected void disconnect(final Context context) {
        hang(context);
        channel(context).close();
    }

    /**
     * Returns the connection of a request.
     *
     * @param context the request's context
     * @return the connection
     */
    protected static Channel channel(final Context context) {
        return context.getDirectChannelAccess().getChannel();
    }

    private RatpackServer listen() throws IOException {
        try {
            final RatpackServer server =
                    RatpackServer.start(
                            spec ->
                                    spec.serverConfig(
                                                    config ->
                                                            config.port(mPort)
                                                                    .address(
                                                                            InetAddress.getByName(
                                                                                    mHost))
                                                                    .threads(1)
                                                                    .development(false)
                                                                    .registerShutdownHook(false)
                                                                    .maxContentLength(
                                                                            MAXIMUM_BODY_BYTES))
                                            .handlers(this::addHandlers));
            mPort = server.getBindPort();
            return server;
        } catch (final Exception e) {
            throw new IOException(mName + ": can't listen on " + address(), e);
        }
    }

    private void addHandlers(final Chain chain) throws Exception {
        chain.post("faults", this::addFaults);
        addRoutes(chain);
    }

    private void addFaults(final Context context) {
        readJson(context)
                .then(
                        node -> {
                            final Optional<String> error = addFaults(node);
                            if (error.isPresent()) {
                                sendJson(context, 400, Map.of("error", error.get()));
                            } else {
                                sendJson(context, 200, Map.of("added", Math.max(1, node.size())));
                            }
                        });
    }

    private Optional<String> addFaults(final JsonNode node) {
        try {
            if (node.isArray()) {
                for (final JsonNode element : node) {
                    addFault(Fault.ofJson(element));
                }
            } else {
                addFault(Fault.ofJson(node));
            }
            onFaultsChanged();
            return Optional.empty();
        } catch (final IllegalArgumentException e) {
            return Optional.of(e.getMessage());
        }
    }

    private void addFault(final Fault fault) {
        if (fault.kind() == Kind.CRASH) {
            scheduleCrash(Duration.ofMillis(fault.millis()));
        } else {
            mFaults.add(fault);
        }
    }

    private synchronized void restart() {
        if (mStopped) {
            return;
        }
        try {
            mServer = listen();
        } catch (final IOException e) {
            LOGGER.log(
                    System.Logger.Level.WARNING,
                    "fakes: can't listen again after a crash; retrying",
                    e);
            mScheduler.schedule(this::restart, RESTART_RETRY_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void stopServer() {
        if (mServer == null) {
            return;
        }
        try {
            mServer.stop();
        } catch (final Exception e) {
            LOGGER.log(System.Logger.Level.WARNING, "fakes: can't stop the server", e);
        }
        mServer = null;
    }
}
