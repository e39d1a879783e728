package io.persimmonreel.daemon.request;

import io.persimmonreel.core.config.Configuration;
import io.persimmonreel.core.config.FleetSpec;
import io.persimmonreel.core.customer.CustomerSpec;
import io.persimmonreel.core.request.Outcome;
import io.persimmonreel.core.request.Problem;
import io.persimmonreel.core.request.RequestIdentity;
import io.persimmonreel.core.service.ObjectiveSpec;
import io.persimmonreel.core.service.ReplicaSpec;
import io.persimmonreel.core.service.ServiceSpec;
import io.persimmonreel.core.service.Tier;
import io.persimmonreel.core.service.UpstreamKind;
import io.persimmonreel.core.service.UpstreamSpec;
import io.persimmonreel.core.time.TimeSource;
import io.persimmonreel.daemon.upstream.ControlClient;
import io.persimmonreel.daemon.upstream.EngineClient;
import io.persimmonreel.daemon.upstream.PlainClient;
import io.persimmonreel.daemon.upstream.UpstreamHttpClient;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

/**
 * Sets up a coordinator with a fake scheduler, fake claims and real clients for scripted upstreams.
 */
public final class RequestCoordinatorFixture implements AutoCloseable {
    /** Grants claims immediately if {@link #grants} is set, and records the calls. */
    public static final class FakeClaims implements ClaimGateway {
        public final List<String> events = new CopyOnWriteArrayList<>();
        public volatile Listener listener;
        public volatile boolean grants = true;

        @Override
        public void begin(
                final String requestId,
                final RequestIdentity identity,
                final String contentDigest,
                final long deadlineNanos,
                final Listener result) {
            events.add("begin");
            listener = result;
            if (grants) {
                result.onClaimed(7);
            }
        }

        @Override
        public boolean markDispatched(final long attempt) {
            events.add("dispatched");
            return true;
        }

        @Override
        public boolean renounce(final long attempt) {
            events.add("renounced");
            return true;
        }

        @Override
        public void finish(
                final long attempt,
                final Outcome outcome,
                final int status,
                final String contentType,
                final byte[] body) {
            events.add("finished " + outcome.label());
        }
    }

    /** Collects the tokens and the result that a caller receives. */
    public static final class Caller implements AnswerSink {
        public final List<String> tokens = new CopyOnWriteArrayList<>();
        private final CompletableFuture<Object> mResult = new CompletableFuture<>();

        @Override
        public void onToken(final int index, final String text) {
            tokens.add(text);
        }

        @Override
        public void onAnswer(final Answer answer) {
            mResult.complete(answer);
        }

        @Override
        public void onProblem(final Problem problem) {
            mResult.complete(problem);
        }

        public Answer awaitAnswer() throws Exception {
            return (Answer) mResult.get(20, TimeUnit.SECONDS);
        }

        public Problem awaitProblem() throws Exception {
            return (Problem) mResult.get(20, TimeUnit.SECONDS);
        }
    }

    public final FakeScheduler scheduler;
    public final FakeClaims claims = new FakeClaims();
    public final List<String> crashes = new CopyOnWriteArrayList<>();
    public final List<RequestSummary> summaries = new CopyOnWriteArrayList<>();
    public final RequestCoordinator coordinator;
    public final Configuration configuration;
    private final ExecutorService mExecutor = Executors.newCachedThreadPool();

    public RequestCoordinatorFixture(final ReplicaSpec... replicas) {
        scheduler =
                new FakeScheduler(
                        List.of(replicas).stream().map(ReplicaSpec::id).toArray(String[]::new));
        final UpstreamHttpClient http = new UpstreamHttpClient(mExecutor);
        coordinator =
                new RequestCoordinator(
                        new RequestComponents(
                                scheduler,
                                claims,
                                quarantine(),
                                new EngineClient(http),
                                new PlainClient(http),
                                new ControlClient(http),
                                replica -> Optional.empty(),
                                time(),
                                record -> {},
                                summaries::add,
                                notice -> {}));
        configuration = configuration(List.of(replicas));
        coordinator.configure(configuration);
        coordinator.start();
    }

    /** Submits a request to the service {@code draft} (engine) or {@code charge} (plain). */
    public Caller submit(final String id, final String service) {
        final Caller caller = new Caller();
        final ServiceSpec spec = configuration.services().get(service);
        final UpstreamSpec upstream = configuration.upstreamOf(spec);
        final Optional<EngineInput> input =
                upstream.kind() == UpstreamKind.ENGINE
                        ? Optional.of(new EngineInput("p", 0, 1, 0, 0, 9))
                        : Optional.empty();
        final long now = System.nanoTime();
        coordinator.submit(
                new Submission(
                        id,
                        "c1",
                        spec,
                        upstream,
                        spec.tier(),
                        now,
                        now + 15_000_000_000L,
                        spec.idempotent() ? "" : "key-0001",
                        "{}".getBytes(),
                        "digest",
                        input),
                caller);
        return caller;
    }

    @Override
    public void close() {
        coordinator.close();
        mExecutor.shutdownNow();
    }

    public static TimeSource time() {
        return new TimeSource() {
            @Override
            public long monotonicNanos() {
                return System.nanoTime();
            }

            @Override
            public long wallMillis() {
                return System.currentTimeMillis();
            }
        };
    }

    /** Waits until a condition holds. */
    public static void await(final java.util.function.BooleanSupplier condition)
            throws InterruptedException {
        final long end = System.nanoTime() + 20_000_000_000L;
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() - end > 0) {
                throw new AssertionError("condition did not hold within 20 s");
            }
            Thread.sleep(5);
        }
    }

    private QuarantineGateway quarantine() {
        return new QuarantineGateway() {
            @Override
            public Verdict check(
                    final String service,
                    final byte[] body,
                    final byte[] similarityContent,
                    final long nowNanos) {
                return new Verdict(service, false, false, Set.of());
            }

            @Override
            public void onCrash(
                    final String replica, final List<String> fingerprints, final long nowNanos) {
                crashes.add(replica + fingerprints);
            }

            @Override
            public void onDispatched(final String fingerprint, final String replica) {}

            @Override
            public void onCompleted(
                    final String fingerprint,
                    final String replica,
                    final boolean succeeded,
                    final long nowNanos) {
                if (succeeded) {
                    crashes.remove(replica + List.of(fingerprint));
                }
            }
        };
    }

    private static Configuration configuration(final List<ReplicaSpec> replicas) {
        final Duration second = Duration.ofSeconds(1);
        final ObjectiveSpec objective = new ObjectiveSpec(0.9, second, second, second);
        final Duration deadline = Duration.ofSeconds(15);
        return new Configuration(
                3,
                "d",
                "t",
                new FleetSpec("f", 3, 1, second, second, List.of("z")),
                Map.of("c1", new CustomerSpec("c1", List.of(sha256("secret-1")), 1, 2, 100)),
                Map.of(
                        "engines",
                        new UpstreamSpec(
                                "engines", UpstreamKind.ENGINE, true, false, "m", "1", replicas),
                        "plains",
                        new UpstreamSpec(
                                "plains", UpstreamKind.PLAIN, false, false, "", "", replicas)),
                Map.of(
                        "draft",
                        new ServiceSpec(
                                "draft", "engines", Tier.BULK, true, List.of(), deadline, 1024, 50,
                                objective),
                        "charge",
                        new ServiceSpec(
                                "charge",
                                "plains",
                                Tier.URGENT,
                                false,
                                List.of(),
                                deadline,
                                1024,
                                0,
                                objective)),
                6);
    }

    /** Returns the digest under which the key of the customer {@code c1} is configured. */
    public static String sha256(final String key) {
        try {
            return java.util.HexFormat.of()
                    .formatHex(
                            java.security.MessageDigest.getInstance("SHA-256")
                                    .digest(key.getBytes()));
        } catch (final java.security.NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }
}
