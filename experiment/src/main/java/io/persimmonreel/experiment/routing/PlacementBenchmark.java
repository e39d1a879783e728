package io.persimmonreel.experiment.routing;

import io.persimmonreel.core.placement.Placement;
import io.persimmonreel.core.placement.Placement.Choice;
import io.persimmonreel.core.placement.PromptCacheEstimate;
import io.persimmonreel.core.placement.WorkSize;
import io.persimmonreel.core.replica.Replica;
import io.persimmonreel.core.replica.ReplicaEntry;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
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
 * Measures how long the relay takes to choose a replica for a prompt of two parts while half of the
 * slots are taken.
 */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
public class PlacementBenchmark {
    private static final int SLOTS_PER_REPLICA = 10;
    private static final int REQUESTS = 1_024;

    /** The number of replicas. */
    @Param({"15", "42", "7100"})
    public int mReplicas;

    private final List<Replica> mCandidates = new ArrayList<>();
    private final List<WorkSize> mRequests = new ArrayList<>();
    private Placement mPlacement;
    private int mRequestIndex;

    /** Creates the replicas and the requests. */
    @Setup
    public void prepare() {
        mPlacement = new Placement(new PromptCacheEstimate(), 1);
        for (int i = 0; i < mReplicas; i++) {
            final Replica replica =
                    new Replica(
                            new ReplicaEntry(
                                    "r" + i, "u", "10.0.0.1", 1, "z", SLOTS_PER_REPLICA, false, 1));
            replica.onPeerLoad(SLOTS_PER_REPLICA / 2, 0);
            replica.onTokenTime(4 + i % 5);
            mCandidates.add(replica);
        }
        for (int i = 0; i < REQUESTS; i++) {
            mRequests.add(
                    new WorkSize(
                            1_800,
                            100,
                            300,
                            List.of(
                                    new WorkSize.PromptPart(1, 1, 60),
                                    new WorkSize.PromptPart(i + 2, i + 2, 1_740))));
        }
    }

    /**
     * Chooses a replica for the next request.
     *
     * @return the choice
     */
    @Benchmark
    public Optional<Choice> choose() {
        mRequestIndex = (mRequestIndex + 1) % REQUESTS;
        return mPlacement.choose(
                mRequests.get(mRequestIndex), mCandidates, Set.of(), 10_000, mRequestIndex);
    }
}
