package io.persimmonreel.daemon.http;

import io.persimmonreel.core.config.Configuration;
import io.persimmonreel.core.customer.CustomerDirectory;
import io.persimmonreel.core.explain.DecisionLog;
import io.persimmonreel.core.time.TimeSource;
import io.persimmonreel.daemon.request.RequestCoordinator;
import java.util.Optional;
import java.util.function.Supplier;

/**
 * Groups what the server for callers depends on.
 *
 * @param coordinator runs submitted requests
 * @param configuration supplies the accepted configuration, empty if there is none yet
 * @param readiness tells whether requests may be taken
 * @param customers finds customers by API key and enforces their quotas
 * @param requestIds generates request ids that are unique in the fleet
 * @param idempotencyKeys issues idempotency keys
 * @param decisions keeps decision records
 * @param refusals is told of refused requests
 * @param time the clocks
 */
public record CallerParts(
        RequestCoordinator coordinator,
        Supplier<Optional<Configuration>> configuration,
        Readiness readiness,
        CustomerDirectory customers,
        Supplier<String> requestIds,
        Supplier<String> idempotencyKeys,
        DecisionLog decisions,
        RefusalObserver refusals,
        TimeSource time) {}
