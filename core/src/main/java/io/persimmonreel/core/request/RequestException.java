package io.persimmonreel.core.request;

/** Thrown when a request fails; carries the problem to report to its caller. */
public final class RequestException extends Exception {
    private static final long serialVersionUID = 1L;

    private final transient Problem mProblem;

    /**
     * Creates an exception for a problem.
     *
     * @param problem the problem
     */
    public RequestException(final Problem problem) {
        super(problem.step().label() + ": " + problem.peer() + ": " + problem.detail());
        mProblem = problem;
    }

    /**
     * Returns the problem.
     *
     * @return the problem, never null
     */
    public Problem problem() {
        return mProblem;
    }
}
