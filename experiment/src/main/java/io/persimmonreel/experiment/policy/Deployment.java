package io.persimmonreel.experiment.policy;

import io.persimmonreel.core.config.Configuration;
import io.persimmonreel.core.config.FleetSpec;
import io.persimmonreel.core.customer.CustomerSpec;
import io.persimmonreel.core.service.ObjectiveSpec;
import io.persimmonreel.core.service.ReplicaSpec;
import io.persimmonreel.core.service.ServiceSpec;
import io.persimmonreel.core.service.Tier;
import io.persimmonreel.core.service.UpstreamKind;
import io.persimmonreel.core.service.UpstreamSpec;
import io.persimmonreel.experiment.policy.ServiceTraffic.LengthDistribution;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Describes a deployment of the system: its upstreams, services, customers and requests.
 *
 * @param name the deployment's name
 * @param engines the number of engine replicas
 * @param serviceMix the services with their requests
 * @param customerShares the share of requests of each customer, adding up to 1
 */
record Deployment(
        String name, int engines, List<ServiceTraffic> serviceMix, List<Double> customerShares) {
    static final String ENGINE_UPSTREAM = "engine";
    static final String PLAIN_UPSTREAM = "plain";
    static final int DAEMONS = 7;
    static final int SLOTS_PER_REPLICA = 8;
    static final int PLAIN_REPLICAS = 3;

    private static final int MAXIMUM_BODY_BYTES = 65_536;
    private static final double OBJECTIVE_TARGET = 0.99;
    private static final int SUM_OF_CUSTOMER_WEIGHTS = 20;
    private static final int CUSTOMER_CONCURRENT_REQUESTS = 10_000;
    private static final int CUSTOMER_REQUESTS_PER_SECOND = 10_000;
    private static final int WEIGHT_LOADS_PER_MINUTE = 6;

    /** Speeds of the engine generations; engines are assigned to them in turn. */
    private static final List<Double> ENGINE_SPEEDS = List.of(1.0, 1.7, 3.0);

    private static final List<String> ZONES = List.of("zone-a", "zone-b", "zone-c");
    private static final List<Double> SKEWED_CUSTOMER_SHARES = List.of(0.4, 0.3, 0.15, 0.1, 0.05);

    static Deployment saafPaws() {
        final List<ServiceTraffic> mix = new ArrayList<>();
        mix.add(
                engineService("shift-report", Tier.BULK, 0.4, 120, objective(60_000, 1000, 60_000))
                        .withPrompt(new LengthDistribution(1500, 0.8, 200, 8000), 150)
                        .withOutput(new LengthDistribution(400, 0.6, 50, 1500)));
        mix.add(
                engineService("wash-guidance", Tier.NORMAL, 0.3, 20, objective(2000, 50, 12_000))
                        .withPrompt(new LengthDistribution(300, 0.8, 40, 2000), 40)
                        .withOutput(new LengthDistribution(120, 0.6, 10, 500)));
        mix.add(
                engineService("booking-reply", Tier.URGENT, 0.3, 8, objective(500, 30, 4000))
                        .withPrompt(new LengthDistribution(150, 0.8, 20, 600), 20)
                        .withOutput(new LengthDistribution(60, 0.5, 10, 200)));
        mix.add(plainService("booking-lookup", true, 0.2, 2, 30, 500));
        mix.add(plainService("charge", false, 0.15, 5, 80, 1000));
        mix.add(plainService("token-refund", false, 0.05, 5, 80, 1000));
        return new Deployment("saaf-paws", 12, List.copyOf(mix), SKEWED_CUSTOMER_SHARES);
    }

    static Deployment songHong() {
        final List<ServiceTraffic> mix = new ArrayList<>();
        mix.add(
                engineService(
                                "certificate-draft",
                                Tier.BULK,
                                0.5,
                                180,
                                objective(90_000, 1000, 90_000))
                        .withPrompt(new LengthDistribution(2000, 0.8, 200, 8000), 150)
                        .withOutput(new LengthDistribution(500, 0.6, 50, 1500)));
        mix.add(
                engineService("deviation-note", Tier.NORMAL, 0.35, 20, objective(2000, 50, 12_000))
                        .withPrompt(new LengthDistribution(400, 0.8, 40, 3000), 40)
                        .withOutput(new LengthDistribution(150, 0.6, 10, 500)));
        mix.add(
                engineService("pass-fail-tag", Tier.NORMAL, 0.15, 10, objective(2000, 50, 4000))
                        .withPrompt(new LengthDistribution(400, 0.8, 40, 3000), 40)
                        .withOutput(new LengthDistribution(5, 0.4, 1, 20)));
        mix.add(plainService("record-lookup", true, 0.25, 2, 20, 500));
        mix.add(plainService("certificate-issue", false, 0.15, 5, 50, 1000));
        return new Deployment("song-hong", 8, List.copyOf(mix), SKEWED_CUSTOMER_SHARES);
    }

    private static ObjectiveSpec objective(
            final long firstMillis, final long betweenMillis, final long completeMillis) {
        return new ObjectiveSpec(
                OBJECTIVE_TARGET,
                Duration.ofMillis(firstMillis),
                Duration.ofMillis(betweenMillis),
                Duration.ofMillis(completeMillis));
    }

    /** Builds a service of the engine upstream with its requests. */
    private record EngineServiceBuilder(
            String id,
            Tier tier,
            double share,
            long deadlineSeconds,
            ObjectiveSpec objective,
            LengthDistribution promptLength,
            int prefixTokens) {
        EngineServiceBuilder withPrompt(final LengthDistribution length, final int prefix) {
            return new EngineServiceBuilder(
                    id, tier, share, deadlineSeconds, objective, length, prefix);
        }

        ServiceTraffic withOutput(final LengthDistribution outputLength) {
            final List<String> needs = tier == Tier.URGENT ? List.of("booking-lookup") : List.of();
            final ServiceSpec service =
                    new ServiceSpec(
                            id,
                            ENGINE_UPSTREAM,
                            tier,
                            true,
                            needs,
                            Duration.ofSeconds(deadlineSeconds),
                            MAXIMUM_BODY_BYTES,
                            outputLength.maximum(),
                            objective);
            return new ServiceTraffic(service, share, promptLength, prefixTokens, outputLength, 0);
        }
    }

    private static EngineServiceBuilder engineService(
            final String id,
            final Tier tier,
            final double share,
            final long deadlineSeconds,
            final ObjectiveSpec objective) {
        return new EngineServiceBuilder(
                id, tier, share, deadlineSeconds, objective, LengthDistribution.NONE, 0);
    }

    private static ServiceTraffic plainService(
            final String id,
            final boolean idempotent,
            final double share,
            final long deadlineSeconds,
            final long medianMillis,
            final long completeMillis) {
        final ServiceSpec service =
                new ServiceSpec(
                        id,
                        PLAIN_UPSTREAM,
                        Tier.URGENT,
                        idempotent,
                        List.of(),
                        Duration.ofSeconds(deadlineSeconds),
                        MAXIMUM_BODY_BYTES,
                        0,
                        objective(completeMillis, 1000, completeMillis));
        return new ServiceTraffic(
                service,
                share,
                LengthDistribution.NONE,
                0,
                LengthDistribution.NONE,
                medianMillis * 1_000_000);
    }

    static double engineSpeed(final int index) {
        return ENGINE_SPEEDS.get(index % ENGINE_SPEEDS.size());
    }

    /** Returns the sum of the speeds of all engines. */
    double totalEngineSpeed() {
        double sum = 0;
        for (int i = 0; i < engines; i++) {
            sum += engineSpeed(i);
        }
        return sum;
    }

    /** Returns the request rate of a service at load 1, if half of the prefix tokens are cached. */
    double requestsPerSecond(final ServiceTraffic traffic) {
        if (traffic.service().upstream().equals(PLAIN_UPSTREAM)) {
            final double meanToMedian =
                    Math.exp(Workload.PLAIN_TIME_SIGMA * Workload.PLAIN_TIME_SIGMA / 2);
            return traffic.capacityShare()
                    * PLAIN_REPLICAS
                    * SLOTS_PER_REPLICA
                    * 1e9
                    / (traffic.medianPlainNanos() * meanToMedian);
        }
        final double prefillSeconds =
                (traffic.promptLength().mean() - traffic.prefixTokens() / 2.0)
                        / SimulatedEngine.PREFILL_TOKENS_PER_SECOND;
        final double stepSecondsPerToken =
                (SimulatedEngine.STEP_BASE_NANOS
                                + SimulatedEngine.STEP_NANOS_PER_STREAM * SLOTS_PER_REPLICA)
                        / SLOTS_PER_REPLICA
                        / 1e9;
        return traffic.capacityShare()
                * totalEngineSpeed()
                / (prefillSeconds + traffic.outputLength().mean() * stepSecondsPerToken);
    }

    Configuration configuration() {
        final List<ReplicaSpec> engineReplicas = new ArrayList<>();
        for (int i = 0; i < engines; i++) {
            final String generation = "g" + (i % ENGINE_SPEEDS.size() + 1);
            engineReplicas.add(replica("engine-" + (i + 1), 9100 + i, i, generation));
        }
        final List<ReplicaSpec> plainReplicas = new ArrayList<>();
        for (int i = 0; i < PLAIN_REPLICAS; i++) {
            plainReplicas.add(replica("plain-" + (i + 1), 9200 + i, i, ""));
        }
        final Map<String, UpstreamSpec> upstreams = new LinkedHashMap<>();
        upstreams.put(
                ENGINE_UPSTREAM,
                new UpstreamSpec(
                        ENGINE_UPSTREAM,
                        UpstreamKind.ENGINE,
                        true,
                        false,
                        "model",
                        "1",
                        engineReplicas));
        upstreams.put(
                PLAIN_UPSTREAM,
                new UpstreamSpec(
                        PLAIN_UPSTREAM, UpstreamKind.PLAIN, false, true, "", "", plainReplicas));
        final Map<String, ServiceSpec> services = new LinkedHashMap<>();
        serviceMix.forEach(traffic -> services.put(traffic.service().id(), traffic.service()));
        final Map<String, CustomerSpec> customers = new LinkedHashMap<>();
        for (int i = 0; i < customerShares.size(); i++) {
            final String id = customerId(i);
            final int weight =
                    (int) Math.max(1, Math.round(customerShares.get(i) * SUM_OF_CUSTOMER_WEIGHTS));
            customers.put(
                    id,
                    new CustomerSpec(
                            id,
                            List.of(),
                            weight,
                            CUSTOMER_CONCURRENT_REQUESTS,
                            CUSTOMER_REQUESTS_PER_SECOND));
        }
        final FleetSpec fleet =
                new FleetSpec(
                        name, DAEMONS, 1, Duration.ofSeconds(2), Duration.ofMinutes(10), ZONES);
        return new Configuration(
                1, "", "", fleet, customers, upstreams, services, WEIGHT_LOADS_PER_MINUTE);
    }

    static String customerId(final int index) {
        return "customer-" + (index + 1);
    }

    private static ReplicaSpec replica(
            final String id, final int port, final int index, final String generation) {
        return new ReplicaSpec(
                id,
                "127.0.0.1:" + port,
                ZONES.get(index % ZONES.size()),
                generation,
                SLOTS_PER_REPLICA);
    }
}
