package io.persimmonreel.cli;

import io.persimmonreel.fakes.FakePlainService;
import java.io.IOException;
import java.io.PrintStream;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;

/**
 * Measures on loopback the latency that a daemon adds to a call, and whether its memory grows.
 *
 * <p>Direct calls and calls through a daemon alternate in one run, so that the load of the machine
 * affects both alike.
 */
final class DaemonOverheadMeasurement {
    private static final String CUSTOMER_KEY = "demo-kiosks-lahore";
    private static final String BODY = "{\"booking\":17,\"amount\":900}";
    private static final Duration TIMEOUT = Duration.ofSeconds(20);
    private static final int WARM_UP_CALLS = 3_000;
    private static final int CALLS = 3_000;
    private static final int MEMORY_ROUNDS = 6;
    private static final int CALLS_PER_ROUND = 6_000;
    private static final int TOKENS = 100;
    private static final int STREAMS = 20;
    private static final long MAXIMUM_LATENCY_MICROS = TimeUnit.SECONDS.toMicros(60);
    private static final double[] PERCENTILES = {50, 95, 99};
    private static final double BYTES_PER_MEGABYTE = 1_000_000.0;
    private static final long GC_WAIT_MILLIS = 200;

    private final HttpClient mHttp =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final ServiceClient mClient;
    private final URI mDirectUri;
    private int mDirectCalls;

    private DaemonOverheadMeasurement(final DemoFleet fleet) {
        mClient = new ServiceClient(fleet.callerUrls(), TIMEOUT);
        final FakePlainService service =
                fleet.upstreams().plainServices().values().iterator().next();
        mDirectUri = URI.create("http://" + service.address() + "/v1/run");
    }

    /**
     * Measures with one daemon and prints the figures.
     *
     * @param out receives the figures
     * @throws IOException if the fleet can't start or a call fails
     * @throws InterruptedException if the thread is interrupted
     */
    static void run(final PrintStream out) throws IOException, InterruptedException {
        final String text =
                DemoOperatorText.read(1)
                        .replace("requestsPerSecond: 100", "requestsPerSecond: 100000");
        try (DemoFleet fleet = DemoFleet.start(1, text)) {
            final List<String> waiting = fleet.awaitReady(TIMEOUT);
            if (!waiting.isEmpty()) {
                throw new IOException("relay: the daemon is not ready: " + waiting);
            }
            final DaemonOverheadMeasurement measurement = new DaemonOverheadMeasurement(fleet);
            measurement.measureLatency(out);
            measurement.measureStreams(out);
            measurement.measureMemory(out);
        }
    }

    private void measureLatency(final PrintStream out) throws IOException, InterruptedException {
        for (int i = 0; i < WARM_UP_CALLS; i++) {
            timeDirectCall();
            timeDaemonCall();
        }
        final Histogram direct = new Histogram(MAXIMUM_LATENCY_MICROS, 3);
        final Histogram throughDaemon = new Histogram(MAXIMUM_LATENCY_MICROS, 3);
        for (int i = 0; i < CALLS; i++) {
            direct.recordValue(timeDirectCall());
            throughDaemon.recordValue(timeDaemonCall());
        }
        for (final double percentile : PERCENTILES) {
            final long directMicros = direct.getValueAtPercentile(percentile);
            final long daemonMicros = throughDaemon.getValueAtPercentile(percentile);
            out.printf(
                    Locale.ROOT,
                    "p%.0f direct %d us, through a daemon %d us, added %d us%n",
                    percentile,
                    directMicros,
                    daemonMicros,
                    daemonMicros - directMicros);
        }
    }

    private void measureStreams(final PrintStream out) throws IOException, InterruptedException {
        long tokens = 0;
        final long start = System.nanoTime();
        for (int i = 0; i < STREAMS; i++) {
            final Call call =
                    Call.engine("booking-reply", "", i + " tokens=" + TOKENS, TOKENS, true);
            tokens += requireSuccess(mClient.send(call, CUSTOMER_KEY, token -> {})).tokens();
        }
        final double seconds = (System.nanoTime() - start) / 1e9;
        out.printf(
                Locale.ROOT,
                "%d streams one after another: %d tokens, %.0f tokens/s%n",
                STREAMS,
                tokens,
                tokens / seconds);
    }

    private void measureMemory(final PrintStream out) throws IOException, InterruptedException {
        for (int round = 1; round <= MEMORY_ROUNDS; round++) {
            final long start = System.nanoTime();
            for (int i = 0; i < CALLS_PER_ROUND; i++) {
                timeDaemonCall();
            }
            final double seconds = (System.nanoTime() - start) / 1e9;
            out.printf(
                    Locale.ROOT,
                    "%6d requests: heap %.1f MB after a collection, %.0f requests/s%n",
                    round * CALLS_PER_ROUND,
                    usedHeapMegabytes(),
                    CALLS_PER_ROUND / seconds);
        }
    }

    /** Calls the fake upstream without a daemon; returns the time in microseconds. */
    private long timeDirectCall() throws IOException, InterruptedException {
        final HttpRequest request =
                HttpRequest.newBuilder(mDirectUri)
                        .header("Request-Id", "direct-" + ++mDirectCalls)
                        .header("Content-Type", "application/json")
                        .POST(HttpRequest.BodyPublishers.ofString(BODY))
                        .build();
        final long start = System.nanoTime();
        final int status = mHttp.send(request, HttpResponse.BodyHandlers.ofString()).statusCode();
        if (status != 200) {
            throw new IOException("relay: the fake upstream answered " + status);
        }
        return TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - start);
    }

    /** Calls the service through the daemon; returns the time in microseconds. */
    private long timeDaemonCall() throws IOException, InterruptedException {
        final long start = System.nanoTime();
        requireSuccess(
                mClient.send(Call.plain("booking-lookup", BODY, ""), CUSTOMER_KEY, token -> {}));
        return TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - start);
    }

    private static Answer requireSuccess(final Answer answer) throws IOException {
        if (answer.status() != 200) {
            throw new IOException("relay: the daemon answered " + answer);
        }
        return answer;
    }

    private static double usedHeapMegabytes() throws InterruptedException {
        System.gc();
        Thread.sleep(GC_WAIT_MILLIS);
        System.gc();
        final Runtime runtime = Runtime.getRuntime();
        return (runtime.totalMemory() - runtime.freeMemory()) / BYTES_PER_MEGABYTE;
    }
}
