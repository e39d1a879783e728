package io.persimmonreel.core.grant;

import io.persimmonreel.core.peer.SlotPlace;
import java.util.Objects;
import java.util.Optional;

/**
 * Describes what is known of the claim of a request that was not granted a slot. Immutable.
 *
 * @param state the state of the claim
 * @param suspended whether the granter is not asked, since it did not answer a claim
 * @param number the number of the claim, 0 without one
 * @param firstWaitMillis the expected wait in milliseconds that the first answer stated, 0 without
 *     an answer
 * @param waitMillis the expected wait in milliseconds that the last answer stated, 0 without one
 * @param answerAgeMillis the time since the last answer in milliseconds, 0 without one
 * @param claims the claims of this daemon for the upstream that have no slot
 * @param slots the slots of the upstream that this daemon holds
 * @param place the place in the queue of the granter, empty if the granter did not state it
 */
public record ClaimReport(
        SlotAnswer.State state,
        boolean suspended,
        long number,
        double firstWaitMillis,
        double waitMillis,
        double answerAgeMillis,
        int claims,
        int slots,
        Optional<SlotPlace> place) {
    /** Checks that the state and the place are given. */
    public ClaimReport {
        Objects.requireNonNull(state, "state");
        Objects.requireNonNull(place, "place");
    }
}
