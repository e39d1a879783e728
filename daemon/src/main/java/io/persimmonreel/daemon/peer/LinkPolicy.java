package io.persimmonreel.daemon.peer;

/** Decides which peers may exchange messages with this daemon. Tests use it to block links. */
@FunctionalInterface
public interface LinkPolicy {
    /** Allows all links. */
    LinkPolicy ALLOW_ALL = slot -> true;

    /**
     * Tells whether messages to and from the daemon in a slot are allowed.
     *
     * @param slot the peer's slot
     * @return true if messages are allowed
     */
    boolean isAllowed(int slot);
}
