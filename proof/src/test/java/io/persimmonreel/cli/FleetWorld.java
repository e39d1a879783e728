package io.persimmonreel.cli;

import io.persimmonreel.fakes.FakeServer;
import io.persimmonreel.fakes.Fault;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.BooleanSupplier;
import java.util.logging.Level;
import java.util.logging.Logger;

/** Contains the state of one scenario: a fleet of real daemons on loopback and its callers. */
final class FleetWorld implements AutoCloseable {
    /** Much longer than any wait needs, so that a busy machine does not fail a scenario. */
    private static final Duration MAXIMUM_WAIT = Duration.ofSeconds(20);

    private static final long MAXIMUM_CLOSE_SECONDS = 2;
    private static final long POLL_MILLIS = 20;
    private static final String CUSTOMER_KEY = "demo-kiosks-lahore";

    /** Keeps the logger and its level alive, since java.util.logging holds it only weakly. */
    private final Logger mLogger = Logger.getLogger("io.persimmonreel");

    private final ExecutorService mExecutor = Executors.newCachedThreadPool();
    private final HttpClient mHttp = HttpClient.newHttpClient();
    private final AnswerCheck mAnswerCheck = new AnswerCheck();
    private final Map<String, String> mKeysByLabel = new HashMap<>();
    private final Map<String, List<CompletableFuture<Answer>>> mAnswersByLabel = new HashMap<>();
    private final Map<String, ServiceClient> mClientsByCallerUrl = new HashMap<>();
    private DemoFleet mFleet;

    FleetWorld() {
        // The faults of a scenario would fill the log.
        mLogger.setLevel(Level.OFF);
    }

    void start(final int daemons) throws IOException, InterruptedException {
        mFleet = DemoFleet.start(daemons);
        awaitReady();
    }

    void awaitReady() throws InterruptedException {
        final List<String> waiting = mFleet.awaitReady(MAXIMUM_WAIT);
        if (!waiting.isEmpty()) {
            throw new IllegalStateException("the fleet is not ready: " + waiting);
        }
    }

    DemoFleet fleet() {
        return mFleet;
    }

    /** Waits until a condition holds. */
    void await(final String description, final BooleanSupplier condition)
            throws InterruptedException {
        final long end = System.nanoTime() + MAXIMUM_WAIT.toNanos();
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() - end > 0) {
                throw new AssertionError(
                        "did not happen in " + MAXIMUM_WAIT.toSeconds() + " s: " + description);
            }
            TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
        }
    }

    /** Lets a daemon issue an idempotency key and assigns it to a label. */
    void issueKey(final String label, final int slot) throws IOException, InterruptedException {
        final HttpRequest request =
                HttpRequest.newBuilder(URI.create(mFleet.callerUrl(slot) + "/v1/keys"))
                        .header("Authorization", "Bearer " + CUSTOMER_KEY)
                        .POST(HttpRequest.BodyPublishers.noBody())
                        .build();
        final String body = mHttp.send(request, HttpResponse.BodyHandlers.ofString()).body();
        final int start = body.indexOf("pr1.");
        mKeysByLabel.put(label, body.substring(start, body.indexOf('"', start)));
    }

    String key(final String label) {
        return mKeysByLabel.getOrDefault(label, "");
    }

    /** Sends a request and does not wait for its answer. */
    void send(final String label, final int slot, final Call call) {
        final ServiceClient client =
                mClientsByCallerUrl.computeIfAbsent(
                        mFleet.callerUrl(slot),
                        callerUrl -> new ServiceClient(List.of(callerUrl), MAXIMUM_WAIT));
        mAnswersByLabel
                .computeIfAbsent(label, l -> new ArrayList<>())
                .add(CompletableFuture.supplyAsync(() -> send(client, call), mExecutor));
    }

    private Answer send(final ServiceClient client, final Call call) {
        try {
            return mAnswerCheck.check(call, client.send(call, CUSTOMER_KEY, token -> {}));
        } catch (final InterruptedException e) {
            Thread.currentThread().interrupt();
            return Answer.lost(0, "", "interrupted");
        }
    }

    /** Waits for the answer to a request of a label; numbers start at 1. */
    Answer answer(final String label, final int number) throws InterruptedException {
        try {
            return mAnswersByLabel
                    .get(label)
                    .get(number - 1)
                    .get(2 * MAXIMUM_WAIT.toSeconds(), TimeUnit.SECONDS);
        } catch (final ExecutionException | TimeoutException e) {
            throw new AssertionError("no answer to " + label, e);
        }
    }

    /** Waits for the answers to all requests of a label. */
    List<Answer> answers(final String label) throws InterruptedException {
        final List<Answer> answers = new ArrayList<>();
        for (int i = 1; i <= mAnswersByLabel.get(label).size(); i++) {
            answers.add(answer(label, i));
        }
        return answers;
    }

    <T> CompletableFuture<T> runInBackground(final Callable<T> action) {
        final CompletableFuture<T> result = new CompletableFuture<>();
        mExecutor.execute(
                () -> {
                    try {
                        result.complete(action.call());
                    } catch (final Exception e) {
                        result.completeExceptionally(e);
                    }
                });
        return result;
    }

    /** Returns the replicas of an upstream of the example configuration. */
    Collection<? extends FakeServer> replicas(final String upstream) {
        return "payments".equals(upstream)
                ? mFleet.upstreams().plainServices().values()
                : mFleet.upstreams().engines().values();
    }

    void addFault(final String upstream, final Fault fault) {
        replicas(upstream).forEach(replica -> replica.faults().add(fault));
    }

    /** Counts the engine replicas on which a request of a label was started. */
    long countReplicasThatRan(final String label) throws InterruptedException {
        final List<String> ids = answers(label).stream().map(Answer::requestId).toList();
        return mFleet.upstreams().engines().values().stream()
                .filter(engine -> ids.stream().anyMatch(engine.stats().runs()::containsKey))
                .count();
    }

    /**
     * Stops the fleet. The stop of a fake server can wait forever for its channel to close, so the
     * wait is limited; the scenario has its result by then.
     */
    @Override
    public void close() {
        if (mFleet != null) {
            try {
                CompletableFuture.runAsync(mFleet::close, mExecutor)
                        .get(MAXIMUM_CLOSE_SECONDS, TimeUnit.SECONDS);
            } catch (final InterruptedException e) {
                Thread.currentThread().interrupt();
            } catch (final ExecutionException | TimeoutException e) {
                System.out.println("a fake server did not stop: " + e);
            }
        }
        mExecutor.shutdownNow();
    }
}
