package io.persimmonreel.experiment.virtual;

import io.persimmonreel.core.order.EngineOrder;
import io.persimmonreel.core.order.ReportedModel;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** Simulates an engine that receives orders, loads the ordered model and reports what it has. */
public final class VirtualEngine {
    private static final long LOAD_DURATION_NANOS = TimeUnit.SECONDS.toNanos(5);

    /**
     * Describes an order that arrived.
     *
     * @param arrivalNanos the virtual time of its arrival
     * @param fence its fencing number
     * @param startedLoad whether the engine started to load a model because of it
     * @param accepted whether the engine accepted it
     */
    public record Order(long arrivalNanos, long fence, boolean startedLoad, boolean accepted) {}

    private final EventQueue mQueue;
    private final String mReplica;
    private final boolean mChecksFence;
    private final List<Order> mOrders = new ArrayList<>();
    private String mModel = "";
    private String mModelVersion = "";
    private long mFence;
    private int mLastLoad;

    VirtualEngine(final EventQueue queue, final String replica, final boolean checksFence) {
        mQueue = queue;
        mReplica = replica;
        mChecksFence = checksFence;
    }

    void onOrder(final EngineOrder order) {
        final boolean refused = mChecksFence && order.fence() < mFence;
        final boolean loads =
                !refused
                        && !(order.model().equals(mModel)
                                && order.modelVersion().equals(mModelVersion));
        mOrders.add(new Order(mQueue.nowNanos(), order.fence(), loads, !refused));
        if (refused) {
            return;
        }
        mFence = order.fence();
        if (loads) {
            final int load = ++mLastLoad;
            mModel = "";
            mModelVersion = "";
            mQueue.scheduleAfter(LOAD_DURATION_NANOS, () -> onLoaded(load, order));
        }
    }

    /** Completes a load, unless another load or a crash came after its start. */
    private void onLoaded(final int load, final EngineOrder order) {
        if (load == mLastLoad) {
            mModel = order.model();
            mModelVersion = order.modelVersion();
        }
    }

    /** Loses the loaded model and the fencing number, as a restart does. */
    public void crash() {
        mLastLoad++;
        mModel = "";
        mModelVersion = "";
        mFence = 0;
    }

    /**
     * Returns the model that the engine reports.
     *
     * @return the report, with an empty model while the engine has none
     */
    public ReportedModel report() {
        return new ReportedModel(mReplica, mModel, mModelVersion, mFence);
    }

    /**
     * Returns whether the engine refuses orders with a lower fencing number than an earlier one.
     *
     * @return false if it ignores fencing numbers
     */
    public boolean checksFence() {
        return mChecksFence;
    }

    /**
     * Returns the orders that arrived.
     *
     * @return the orders, by time of arrival
     */
    public List<Order> orders() {
        return List.copyOf(mOrders);
    }
}
