package io.persimmonreel.daemon.refusal;

import io.persimmonreel.core.admission.PlaceForecast;
import io.persimmonreel.core.admission.RunForecast;
import io.persimmonreel.core.grant.ClaimReport;
import java.util.Optional;

/**
 * Describes the position of a request in the queue of its upstream when it was refused.
 *
 * @param isDeferred whether it was placed later than by the soonest start, since not all requests
 *     that wait can be on time
 * @param run how long the response would take
 * @param place when it was expected to get a slot
 * @param claim the claim of a granted slot, empty if its upstream needs none
 */
public record QueueState(
        boolean isDeferred, RunForecast run, PlaceForecast place, Optional<ClaimReport> claim) {}
