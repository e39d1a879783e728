package io.persimmonreel.core.grant;

import io.persimmonreel.core.admission.TimeLeft;
import java.util.Collection;

/**
 * Describes a request that needs a slot.
 *
 * @param upstream the upstream's name
 * @param rank the priority rank, 0 is the highest
 * @param left the time that the caller has left
 * @param excluded the ids of replicas that the request must not use
 */
public record SlotTerms(String upstream, int rank, TimeLeft left, Collection<String> excluded) {}
