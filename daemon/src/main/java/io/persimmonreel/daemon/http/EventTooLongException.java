package io.persimmonreel.daemon.http;

/** Signals that an event in the stream of a replica exceeds the size limit. */
public final class EventTooLongException extends Exception {
    private static final long serialVersionUID = 1L;

    EventTooLongException(final String message) {
        super(message);
    }
}
