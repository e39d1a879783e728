package io.persimmonreel.core.retry;

/**
 * Tracks whether an attempt may have run at a replica.
 *
 * <p>An attempt may have run from the moment at which it is sent. Only the replica's statement that
 * it did not run the request proves the contrary; a broken connection, a timeout or silence proves
 * nothing. Not thread safe.
 */
public final class ExecutionRecord {
    private int mSent;
    private int mProvenNotRun;

    /** Records that the attempt is handed to a connection to a replica. */
    public void onSent() {
        mSent++;
    }

    /**
     * Records that the replica of one send states that it did not run the request.
     *
     * @throws IllegalStateException if every send has been proven not to have run
     */
    public void onProvenNotRun() {
        if (mProvenNotRun == mSent) {
            throw new IllegalStateException("no send of the attempt is unproven");
        }
        mProvenNotRun++;
    }

    /**
     * Returns whether the attempt may have run.
     *
     * @return false only if it was never sent, or if all its replicas state that they did not run
     *     it
     */
    public boolean mayHaveRun() {
        return mSent > mProvenNotRun;
    }
}
