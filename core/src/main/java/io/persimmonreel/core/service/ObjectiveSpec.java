package io.persimmonreel.core.service;

import java.time.Duration;

/**
 * Defines the service-level objective of a service.
 *
 * @param target the share of requests that must stay within all three times, from 0 to 1, both
 *     exclusive
 * @param firstToken the maximum time to the first token, or to the response of a plain service
 * @param betweenTokens the maximum mean time between tokens of a response
 * @param complete the maximum time to the end of the response
 */
public record ObjectiveSpec(
        double target, Duration firstToken, Duration betweenTokens, Duration complete) {}
