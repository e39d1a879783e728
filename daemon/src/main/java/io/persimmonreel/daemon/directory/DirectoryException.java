package io.persimmonreel.daemon.directory;

import io.persimmonreel.core.request.Step;

/** Reports a document or a response of the directory that can't be used. */
public final class DirectoryException extends Exception {
    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception.
     *
     * @param step the step that failed
     * @param subject the name of the document or the address
     * @param detail what is wrong, one short sentence
     * @param cause the cause, or null
     */
    public DirectoryException(
            final Step step, final String subject, final String detail, final Throwable cause) {
        super(step.label() + ": " + subject + ": " + detail, cause);
    }
}
