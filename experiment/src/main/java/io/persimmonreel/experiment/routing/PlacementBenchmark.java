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

/** Measures the relay's choice of a replica for a prompt of two parts, half of the slots taken. */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
public class PlacementBenchmark {
    private static final int SLOTS = 10;
    private static final int SESSIONS = 1_024;

    /** The number of replicas. */
    @Param({"15", "42", "7100"})
    public int mReplicas;

    private final List<Replica> mAll = new ArrayList<>();
    private final List<WorkSize> mWork = new ArrayList<>();
    private Placement mPlacement;
    private int mNext;

    /** Creates replicas and requests. */
    @Setup
    public void prepare() {
        mPlacement = new Placement(new PromptCacheEstimate(), 1);
        for (int i = 0; i < mReplicas; i++) {
            final Replica replica =
                    new Replica(
                            new ReplicaEntry("r" + i, "u", "10.0.0.1", 1, "z", SLOTS, false, 1));
            replica.onPeerLoad(SLOTS / 2, 0);
            replica.onTokenTime(4 + i % 5);
            mAll.add(replica);
        }
        for (int i = 0; i < SESSIONS; i++) {
            mWork.add(
                    new WorkSize(
                            1_800,
                            100,
                            300,
                            List.of(
                                    new WorkSize.PromptPart(1, 60),
                                    new WorkSize.PromptPart(i + 2, 1_740))));
        }
    }

    /**
     * Chooses a replica.
     *
     * @return the choice
     */
    @Benchmark
    public Optional<Choice> choose() {
        mNext = (mNext + 1) % SESSIONS;
        return mPlacement.choose(mWork.get(mNext), mAll, Set.of(), 10_000, mNext);
    }
}
