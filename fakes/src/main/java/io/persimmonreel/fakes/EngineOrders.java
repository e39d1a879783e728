package io.persimmonreel.fakes;

/** Applies the orders to load a model or take a role, and keeps the result. Thread-safe. */
final class EngineOrders {
    /** Time to load a model, during which the engine does no work. */
    private static final long MODEL_LOAD_NANOS = 200_000_000;

    /**
     * Holds the result of the orders applied so far.
     *
     * @param model the loaded model
     * @param modelVersion the loaded model version
     * @param fence the fencing number of the last applied order, 0 if there was none
     * @param role the role of the last role order, empty if there was none
     */
    record State(String model, String modelVersion, long fence, String role) {}

    private final EngineSettings mSettings;
    private State mState;
    private long mLoadingUntilNanos;
    private boolean mLoading;
    private int mModelLoads;
    private int mRefusedOrders;

    EngineOrders(final EngineSettings settings) {
        mSettings = settings;
        mState = new State(settings.model(), settings.modelVersion(), 0, "");
    }

    synchronized State state() {
        return mState;
    }

    synchronized int modelLoads() {
        return mModelLoads;
    }

    synchronized int refusedOrders() {
        return mRefusedOrders;
    }

    synchronized boolean isLoading(final long nowNanos) {
        mLoading = mLoading && nowNanos - mLoadingUntilNanos < 0;
        return mLoading;
    }

    /**
     * Applies an order. An engine that checks fencing refuses a fencing number lower than the last
     * one; an engine that doesn't applies every order and reports its fencing number.
     *
     * @param kind {@code role} for a role order, any other value to load a model
     * @param model the model, or the role in a role order
     * @param version the model version
     * @param fence the fencing number
     * @param nowNanos the current time
     * @return false if the order was refused
     */
    synchronized boolean apply(
            final String kind,
            final String model,
            final String version,
            final long fence,
            final long nowNanos) {
        if (mSettings.checksFencing() && fence < mState.fence()) {
            mRefusedOrders++;
            return false;
        }
        if ("role".equals(kind)) {
            mState = new State(mState.model(), mState.modelVersion(), fence, model);
            return true;
        }
        if (!model.equals(mState.model()) || !version.equals(mState.modelVersion())) {
            mModelLoads++;
            mLoading = true;
            mLoadingUntilNanos = nowNanos + MODEL_LOAD_NANOS;
        }
        mState = new State(model, version, fence, mState.role());
        return true;
    }
}
