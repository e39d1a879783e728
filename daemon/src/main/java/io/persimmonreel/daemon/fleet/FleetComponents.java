package io.persimmonreel.daemon.fleet;

import io.persimmonreel.core.claim.ClaimManager;
import io.persimmonreel.core.config.ConfigurationExchange;
import io.persimmonreel.core.config.ConfigurationState;
import io.persimmonreel.core.config.StartupReadiness;
import io.persimmonreel.core.customer.CustomerDirectory;
import io.persimmonreel.core.explain.DecisionLog;
import io.persimmonreel.core.membership.Membership;
import io.persimmonreel.core.schedule.Scheduler;
import io.persimmonreel.core.time.TimeSource;

/**
 * Groups the components that depend on other daemons.
 *
 * @param membership the members of the fleet
 * @param claims the claims on request identities
 * @param configurationState the accepted configuration
 * @param configurationExchange exchanges configurations with peers
 * @param startupReadiness decides whether the daemon is ready
 * @param customers the customers and their quotas
 * @param scheduler the scheduler of this daemon
 * @param time the monotonic and the wall clock
 * @param decisionLog stores decision records
 */
public record FleetComponents(
        Membership membership,
        ClaimManager claims,
        ConfigurationState configurationState,
        ConfigurationExchange configurationExchange,
        StartupReadiness startupReadiness,
        CustomerDirectory customers,
        Scheduler scheduler,
        TimeSource time,
        DecisionLog decisionLog) {}
