package io.persimmonreel.daemon.peer;

/**
 * Stands for a message of a newer build whose type this build does not know.
 *
 * @param type the type code
 */
record UnknownMessage(int type) {}
