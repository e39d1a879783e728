package io.persimmonreel.daemon;

import io.persimmonreel.core.request.Step;

/** Reports that a daemon could not start, with the step that failed and where it failed. */
public final class DaemonException extends Exception {
    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception.
     *
     * @param step the step that failed
     * @param location the address or daemon at which it failed
     * @param detail what is wrong, one short sentence
     * @param cause the cause, may be null
     */
    public DaemonException(
            final Step step, final String location, final String detail, final Throwable cause) {
        super(step.label() + ": " + location + ": " + detail, cause);
    }
}
