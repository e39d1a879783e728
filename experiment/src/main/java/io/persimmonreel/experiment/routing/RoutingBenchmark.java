package io.persimmonreel.experiment.routing;

import io.persimmonreel.core.config.Configuration;
import io.persimmonreel.core.config.FleetSpec;
import io.persimmonreel.core.customer.CustomerSpec;
import io.persimmonreel.core.peer.Incarnation;
import io.persimmonreel.core.schedule.Completion;
import io.persimmonreel.core.schedule.DaemonScheduler;
import io.persimmonreel.core.schedule.Directive;
import io.persimmonreel.core.schedule.PendingRequest;
import io.persimmonreel.core.service.ObjectiveSpec;
import io.persimmonreel.core.service.ReplicaSpec;
import io.persimmonreel.core.service.ServiceSpec;
import io.persimmonreel.core.service.Tier;
import io.persimmonreel.core.service.UpstreamKind;
import io.persimmonreel.core.service.UpstreamSpec;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;

/**
 * Measures a complete scheduling decision: a request is offered, routed by one poll, and finished.
 * Other requests take half of the slots that the daemon routes to.
 */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
public class RoutingBenchmark {
    private static final int SLOTS_PER_REPLICA = 8;

    /** Greatest number of replicas that one daemon routes to. */
    private static final int SUBSET_REPLICAS = 512;

    private static final long NANOS_PER_SECOND = 1_000_000_000L;

    /** Time between two requests; a daemon of a fleet of the design size gets 47 requests/s. */
    private static final long ARRIVAL_INTERVAL_NANOS = NANOS_PER_SECOND / 47;

    /** The number of replicas. */
    @Param({"15", "200", "1000", "7100"})
    public int mReplicas;

    private DaemonScheduler mScheduler;
    private long mNowNanos;
    private long mNextId;

    /** Configures a scheduler and takes half of the slots. */
    @Setup
    public void prepare() {
        final Incarnation self = new Incarnation(1);
        mScheduler = new DaemonScheduler(self, 1, record -> {});
        mScheduler.configure(configuration(), 0);
        mScheduler.onMembers(List.of(self), 0, 0);
        final int takenSlots = Math.min(SUBSET_REPLICAS, mReplicas) * SLOTS_PER_REPLICA / 2;
        for (int i = 0; i < takenSlots; i++) {
            mScheduler.offer(request(Integer.MAX_VALUE * NANOS_PER_SECOND), 0);
            mScheduler.poll(0);
        }
    }

    private Configuration configuration() {
        final List<ReplicaSpec> replicas = new ArrayList<>();
        for (int i = 0; i < mReplicas; i++) {
            replicas.add(
                    new ReplicaSpec(
                            "r" + i, "127.0.0.1:9100", "a", "g" + i % 3, SLOTS_PER_REPLICA));
        }
        final ObjectiveSpec objective =
                new ObjectiveSpec(
                        0.99, Duration.ofSeconds(1), Duration.ofSeconds(1), Duration.ofSeconds(9));
        return new Configuration(
                1,
                "",
                "",
                new FleetSpec("f", 1, 1, Duration.ZERO, Duration.ZERO, List.of()),
                Map.of("c", new CustomerSpec("c", List.of(), 1, 1, 1)),
                Map.of(
                        "u",
                        new UpstreamSpec(
                                "u", UpstreamKind.ENGINE, true, false, "m", "1", replicas)),
                Map.of(
                        "s",
                        new ServiceSpec(
                                "s",
                                "u",
                                Tier.URGENT,
                                true,
                                List.of(),
                                Duration.ofSeconds(10),
                                1000,
                                100,
                                objective)),
                1);
    }

    private PendingRequest request(final long deadlineNanos) {
        return new PendingRequest(
                Long.toString(mNextId++),
                "c",
                "s",
                Tier.URGENT,
                mNowNanos,
                deadlineNanos,
                100,
                100,
                mNextId % 100,
                50,
                Set.of(),
                false);
    }

    /**
     * Offers, routes and finishes one request.
     *
     * @return the directives of the poll
     */
    @Benchmark
    public List<Directive> decide() {
        mNowNanos += ARRIVAL_INTERVAL_NANOS;
        final PendingRequest request = request(mNowNanos + 10 * NANOS_PER_SECOND);
        mScheduler.offer(request, mNowNanos);
        final List<Directive> directives = mScheduler.poll(mNowNanos);
        mScheduler.onFinished(request.requestId(), Completion.ANSWERED, mNowNanos);
        return directives;
    }
}
