package io.persimmonreel.core.warmup;

/** Lists the changes of what this daemon knows of the warm-up of a replica. */
public enum ColdReplicaEvent {
    /** The replica's entry states that it is cold. */
    ENTRY("entry", true),
    /** This daemon saw signs of a crash, so that the replica is cold when it is back. */
    CRASH("crash", true),
    /** A peer saw signs of a crash. */
    PEER("peer", true),
    /** A response showed that the replica did not crash. */
    ANSWERED("answered", false),
    /** The time for which the replica is cold is over. */
    ENDED("ended", false);

    private final String mLabel;
    private final boolean mIsCold;

    ColdReplicaEvent(final String label, final boolean isCold) {
        mLabel = label;
        mIsCold = isCold;
    }

    /**
     * Returns whether the replica is cold from the event on.
     *
     * @return false if it is not cold any more
     */
    public boolean isCold() {
        return mIsCold;
    }

    /**
     * Returns the name in logs and metrics.
     *
     * @return the name
     */
    public String label() {
        return mLabel;
    }
}
