package io.persimmonreel.fakes;

import io.persimmonreel.core.config.Configuration;
import io.persimmonreel.core.service.ReplicaSpec;
import io.persimmonreel.core.service.UpstreamKind;
import io.persimmonreel.core.service.UpstreamSpec;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Runs a fake server for each upstream replica of a configuration. */
public final class FakeUpstreams implements AutoCloseable {
    /** Duration of one run in a plain service, typical of a booking or payment back end. */
    private static final long PLAIN_SERVICE_RUN_MILLIS = 5;

    private static final Pattern ADDRESS = Pattern.compile("\"([0-9.]+:[0-9]+)\"");

    private final Map<String, FakeEngine> mEngines = new LinkedHashMap<>();
    private final Map<String, FakePlainService> mPlainServices = new LinkedHashMap<>();
    private final Map<String, FakeServer> mServersByConfiguredAddress = new LinkedHashMap<>();

    private FakeUpstreams(final Configuration configuration, final boolean freePorts) {
        for (final UpstreamSpec upstream : configuration.upstreams().values()) {
            for (final ReplicaSpec replica : upstream.replicas()) {
                add(upstream, replica, freePorts);
            }
        }
    }

    /**
     * Creates fakes that listen on the configured addresses.
     *
     * @param configuration the configuration
     * @return the fakes, not yet started
     */
    public static FakeUpstreams onConfiguredPorts(final Configuration configuration) {
        return new FakeUpstreams(configuration, false);
    }

    /**
     * Creates fakes that listen on the configured IP numbers and on free ports.
     *
     * @param configuration the configuration
     * @return the fakes, not yet started
     */
    public static FakeUpstreams onFreePorts(final Configuration configuration) {
        return new FakeUpstreams(configuration, true);
    }

    /**
     * Starts all fakes.
     *
     * @throws IOException if a port can't be bound; then all fakes are stopped again
     */
    public void start() throws IOException {
        try {
            for (final FakeServer server : mServersByConfiguredAddress.values()) {
                server.start();
            }
        } catch (final IOException e) {
            stop();
            throw e;
        }
    }

    /** Stops all fakes. */
    public void stop() {
        mServersByConfiguredAddress.values().forEach(FakeServer::stop);
    }

    @Override
    public void close() {
        stop();
    }

    /**
     * Replaces the configured upstream addresses in an operator text by those of the started fakes.
     *
     * @param text the operator text, with the addresses in double quotes
     * @return the text with the addresses on which the fakes listen
     */
    public String replaceAddresses(final String text) {
        return ADDRESS.matcher(text)
                .replaceAll(
                        match -> {
                            final FakeServer server =
                                    mServersByConfiguredAddress.get(match.group(1));
                            final String address = server == null ? null : server.address();
                            return Matcher.quoteReplacement(
                                    address == null ? match.group() : '"' + address + '"');
                        });
    }

    /**
     * Returns the fake engines.
     *
     * @return the engines by replica id
     */
    public Map<String, FakeEngine> engines() {
        return Map.copyOf(mEngines);
    }

    /**
     * Returns the fake plain services.
     *
     * @return the plain services by replica id
     */
    public Map<String, FakePlainService> plainServices() {
        return Map.copyOf(mPlainServices);
    }

    /**
     * Counts the runs of each idempotency key.
     *
     * @return the number of runs by key, summed over all plain services
     */
    public Map<String, Integer> runsByKey() {
        final Map<String, Integer> runs = new LinkedHashMap<>();
        for (final FakePlainService service : mPlainServices.values()) {
            service.runs().byKey().forEach((key, count) -> runs.merge(key, count, Integer::sum));
        }
        return runs;
    }

    /**
     * Counts the runs of each request.
     *
     * @return the number of runs by stream id (engines) and by request id (plain services), summed
     *     over all replicas
     */
    public Map<String, Integer> runsByRequestId() {
        final List<Map<String, Integer>> counts = new ArrayList<>();
        mEngines.values().forEach(engine -> counts.add(engine.stats().runs()));
        mPlainServices.values().forEach(service -> counts.add(service.runs().byRequestId()));
        final Map<String, Integer> sum = new LinkedHashMap<>();
        for (final Map<String, Integer> count : counts) {
            count.forEach((id, runs) -> sum.merge(id, runs, Integer::sum));
        }
        return sum;
    }

    private void add(
            final UpstreamSpec upstream, final ReplicaSpec replica, final boolean freePorts) {
        final String address = replica.address();
        final int colon = address.lastIndexOf(':');
        final String host = address.substring(0, colon);
        final int port = freePorts ? 0 : Integer.parseInt(address.substring(colon + 1));
        final FakeServer server;
        if (upstream.kind() == UpstreamKind.ENGINE) {
            final EngineSettings settings =
                    EngineSettings.of(
                            replica.id(),
                            replica.generation(),
                            replica.concurrency(),
                            upstream.model(),
                            upstream.modelVersion(),
                            upstream.checksFencing());
            final FakeEngine engine = new FakeEngine(settings, host, port);
            mEngines.put(replica.id(), engine);
            server = engine;
        } else {
            final FakePlainService service =
                    new FakePlainService(
                            replica.id(),
                            host,
                            port,
                            replica.concurrency(),
                            PLAIN_SERVICE_RUN_MILLIS,
                            upstream.checksKeys());
            mPlainServices.put(replica.id(), service);
            server = service;
        }
        mServersByConfiguredAddress.put(address, server);
    }
}
