package io.persimmonreel.daemon.directory;

import io.persimmonreel.core.request.Step;

/** Reports a document or an answer of the directory that can't be used. */
public final class DirectoryException extends Exception {
    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception.
     *
     * @param step the step at which it arose
     * @param subject the document or the address that it is about
     * @param detail what is wrong, one short sentence
     * @param cause the cause, may be null
     */
    public DirectoryException(
            final Step step, final String subject, final String detail, final Throwable cause) {
        super(step.label() + ": " + subject + ": " + detail, cause);
    }
}
