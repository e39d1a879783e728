package io.persimmonreel.core.peer;

/**
 * Identifies one run of a daemon process. A restarted daemon has a new incarnation.
 *
 * @param id the identifier, 64 random bits
 */
public record Incarnation(long id) implements Comparable<Incarnation> {
    @Override
    public int compareTo(final Incarnation other) {
        return Long.compareUnsigned(id, other.id);
    }

    @Override
    public String toString() {
        return String.format("%016x", id);
    }
}
