package io.persimmonreel.daemon.relay;

/** Signals that an event in the stream of a replica exceeds the size limit. */
final class EventTooLongException extends Exception {
    private static final long serialVersionUID = 1L;

    EventTooLongException(final String message) {
        super(message);
    }
}
