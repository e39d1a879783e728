package io.persimmonreel.core.request;

/** States what is known about the execution of a request by an upstream. */
public enum Outcome {
    /** No attempt made so far has dispatched the request or ever will. */
    NOT_RUN("not-run"),
    /** The request ran. */
    RAN("ran"),
    /** The request may have run; it is not known whether it did. */
    MAY_HAVE_RUN("may-have-run");

    private final String mLabel;

    Outcome(final String label) {
        mLabel = label;
    }

    /**
     * Returns the name of the outcome in problem documents and metric labels.
     *
     * @return the label
     */
    public String label() {
        return mLabel;
    }
}
