package io.persimmonreel.cli;

/** Thrown if a flag, file or answer is invalid; the command then exits with code 2. */
final class BadInputException extends Exception {
    private static final long serialVersionUID = 1L;

    BadInputException(final String message) {
        super(message);
    }
}
