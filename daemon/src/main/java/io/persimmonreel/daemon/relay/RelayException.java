package io.persimmonreel.daemon.relay;

/** Reports bytes of a replica that can't be relayed. */
final class RelayException extends Exception {
    private static final long serialVersionUID = 1L;

    RelayException(final String message) {
        super(message);
    }
}
