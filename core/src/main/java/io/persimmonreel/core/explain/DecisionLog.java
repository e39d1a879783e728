package io.persimmonreel.core.explain;

/** Receives decision records. Implementations are thread safe and never block. */
@FunctionalInterface
public interface DecisionLog {
    /**
     * Adds a record; the oldest records may be dropped to make space.
     *
     * @param record the record
     */
    void add(DecisionRecord record);
}
