package io.persimmonreel.core.schedule;

import io.persimmonreel.core.config.Configuration;
import io.persimmonreel.core.config.FleetSpec;
import io.persimmonreel.core.customer.CustomerSpec;
import io.persimmonreel.core.peer.Incarnation;
import io.persimmonreel.core.service.ObjectiveSpec;
import io.persimmonreel.core.service.ReplicaSpec;
import io.persimmonreel.core.service.ServiceSpec;
import io.persimmonreel.core.service.Tier;
import io.persimmonreel.core.service.UpstreamKind;
import io.persimmonreel.core.service.UpstreamSpec;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Sets up a scheduler of one daemon with engines, one plain replica and a service of each tier. */
final class SchedulerFixture {
    static final long MILLI = 1_000_000L;
    static final long SECOND = 1000 * MILLI;
    static final Incarnation SELF = new Incarnation(1);

    final DaemonScheduler mScheduler = new DaemonScheduler(SELF, 1, record -> {});
    private int mNext;

    SchedulerFixture(final int replicas, final int concurrency) {
        mScheduler.configure(configuration(replicas, concurrency, 1), 0);
        mScheduler.onMembers(List.of(SELF), 0, 0);
    }

    static Configuration configuration(
            final int replicas, final int concurrency, final int daemons) {
        final List<ReplicaSpec> engines = new ArrayList<>();
        for (int i = 0; i < replicas; i++) {
            engines.add(new ReplicaSpec("engine-" + i, "127.0.0.1:9100", "a", "g1", concurrency));
        }
        final Map<String, UpstreamSpec> upstreams = new HashMap<>();
        upstreams.put(
                "engine",
                new UpstreamSpec("engine", UpstreamKind.ENGINE, true, false, "m", "1", engines));
        final List<ReplicaSpec> plain =
                List.of(new ReplicaSpec("plain-0", "127.0.0.1:9200", "a", "", concurrency));
        upstreams.put(
                "plain",
                new UpstreamSpec("plain", UpstreamKind.PLAIN, false, false, "", "", plain));
        final Map<String, ServiceSpec> services = new HashMap<>();
        for (final Tier tier : Tier.values()) {
            services.put(tier.label(), service(tier.label(), "engine", tier, List.of()));
        }
        services.put("lookup", service("lookup", "plain", Tier.URGENT, List.of()));
        services.put("reply", service("reply", "engine", Tier.URGENT, List.of("lookup")));
        final Map<String, CustomerSpec> customers = new HashMap<>();
        for (final String id : List.of("large", "small")) {
            customers.put(id, new CustomerSpec(id, List.of(), 1, 1000, 1000));
        }
        final FleetSpec fleet =
                new FleetSpec(
                        "test",
                        daemons,
                        1,
                        Duration.ofSeconds(2),
                        Duration.ofMinutes(10),
                        List.of());
        return new Configuration(1, "", "", fleet, customers, upstreams, services, 6);
    }

    private static ServiceSpec service(
            final String id, final String upstream, final Tier tier, final List<String> needs) {
        final Duration deadline = Duration.ofSeconds(tier == Tier.BULK ? 120 : 10);
        final ObjectiveSpec objective =
                new ObjectiveSpec(0.99, deadline, Duration.ofSeconds(1), deadline);
        return new ServiceSpec(id, upstream, tier, true, needs, deadline, 1000, 50, objective);
    }

    String offer(final String service, final String customer, final long nowNanos) {
        return offer(service, customer, nowNanos, nowNanos + 10 * SECOND);
    }

    String offer(
            final String service,
            final String customer,
            final long nowNanos,
            final long deadlineNanos) {
        final String id = "r" + mNext++;
        final Tier tier = Tier.ofLabel(service).orElse(Tier.URGENT);
        mScheduler.offer(
                new PendingRequest(
                        id,
                        customer,
                        service,
                        tier,
                        nowNanos,
                        deadlineNanos,
                        50,
                        50,
                        0,
                        0,
                        Set.of(),
                        false),
                nowNanos);
        return id;
    }

    /** Polls and returns the directives of one type. */
    <T extends Directive> List<T> poll(final Class<T> type, final long nowNanos) {
        return mScheduler.poll(nowNanos).stream().filter(type::isInstance).map(type::cast).toList();
    }

    /** Dispatches one bulk request and reports its first token, so that it can be paused. */
    String runBulk(final long nowNanos) {
        final String id = offer("bulk", "large", nowNanos, nowNanos + 120 * SECOND);
        mScheduler.poll(nowNanos);
        mScheduler.onTokens(id, 1, nowNanos);
        return id;
    }
}
