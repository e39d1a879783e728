package io.persimmonreel.experiment.policy;

import io.persimmonreel.core.schedule.PendingRequest;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * Holds the requests of one run, which are the same for all policies.
 *
 * @param requests the requests in order of arrival
 * @param daemons the index of the daemon that the load balancer picks for each request
 * @param timeline the times of the run
 */
record Workload(List<SimulatedRequest> requests, List<Integer> daemons, Timeline timeline) {
    /** Standard deviation of the logarithm of the service time at a plain replica. */
    static final double PLAIN_TIME_SIGMA = 0.5;

    private static final double BURST_RATE_FACTOR = 3;
    private static final double FLOOD_RATE_FACTOR = 20;
    private static final long NANOS_PER_SECOND = 1_000_000_000L;
    private static final int WARM_UP_SECONDS = 20;
    private static final int MEASURED_SECONDS = 120;
    private static final int QUICK_MEASURED_SECONDS = 40;

    /**
     * Holds the times of a run in virtual time.
     *
     * @param measureFromNanos the start of the measured time: requests that arrive from then on
     *     count
     * @param measureToNanos the end of the measured time: requests that arrive from then on do not
     *     count
     * @param lastArrivalNanos the end of the arrivals, so that the load lasts while the measured
     *     requests are served
     * @param endNanos the end of the run
     */
    record Timeline(
            long measureFromNanos, long measureToNanos, long lastArrivalNanos, long endNanos) {
        static Timeline of(final Deployment deployment, final boolean quick) {
            long longestDeadline = 0;
            long longestObjective = 0;
            for (final ServiceTraffic traffic : deployment.serviceMix()) {
                longestDeadline = Math.max(longestDeadline, traffic.service().deadline().toNanos());
                longestObjective =
                        Math.max(
                                longestObjective,
                                traffic.service().objective().complete().toNanos());
            }
            final long from = WARM_UP_SECONDS * NANOS_PER_SECOND;
            final long to =
                    from + (quick ? QUICK_MEASURED_SECONDS : MEASURED_SECONDS) * NANOS_PER_SECOND;
            return new Timeline(
                    from,
                    to,
                    to + longestObjective,
                    to + longestObjective + longestDeadline + NANOS_PER_SECOND);
        }

        long faultNanos() {
            return measureFromNanos + (measureToNanos - measureFromNanos) / 3;
        }

        boolean isMeasured(final SimulatedRequest request) {
            final long arrival = request.pending().arrivalNanos();
            return arrival >= measureFromNanos && arrival < measureToNanos;
        }
    }

    static Workload generate(
            final Deployment deployment, final RunSpec run, final long seed, final boolean quick) {
        final Timeline timeline = Timeline.of(deployment, quick);
        final SplittableRandom random = new SplittableRandom(seed);
        final List<SimulatedRequest> requests = new ArrayList<>();
        for (int i = 0; i < deployment.serviceMix().size(); i++) {
            addArrivals(
                    deployment,
                    deployment.serviceMix().get(i),
                    run,
                    timeline,
                    random.split(),
                    requests);
        }
        requests.sort(Comparator.comparingLong(request -> request.pending().arrivalNanos()));
        final List<Integer> daemons = new ArrayList<>();
        requests.forEach(request -> daemons.add(random.nextInt(Deployment.DAEMONS)));
        return new Workload(requests, daemons, timeline);
    }

    private static void addArrivals(
            final Deployment deployment,
            final ServiceTraffic traffic,
            final RunSpec run,
            final Timeline timeline,
            final SplittableRandom random,
            final List<SimulatedRequest> requests) {
        final double rate = deployment.requestsPerSecond(traffic) * run.load();
        for (int customer = 0; customer < deployment.customerShares().size(); customer++) {
            final SplittableRandom customerRandom = random.split();
            final double baseRate = rate * deployment.customerShares().get(customer);
            final boolean smallest = customer == deployment.customerShares().size() - 1;
            double timeNanos = 0;
            while (timeNanos < timeline.lastArrivalNanos()) {
                final double rateNow = baseRate * rateFactor(run, smallest, timeNanos, timeline);
                timeNanos +=
                        -Math.log(1 - customerRandom.nextDouble()) / rateNow * NANOS_PER_SECOND;
                final String id = traffic.service().id() + "-" + customer + "-" + requests.size();
                requests.add(request(id, traffic, customer, (long) timeNanos, customerRandom));
            }
        }
    }

    private static double rateFactor(
            final RunSpec run,
            final boolean smallest,
            final double timeNanos,
            final Timeline timeline) {
        final long measuredNanos = timeline.measureToNanos() - timeline.measureFromNanos();
        final double sinceFault = timeNanos - timeline.faultNanos();
        if (run.fault() == RunSpec.Fault.BURST
                && sinceFault >= 0
                && sinceFault < measuredNanos / 10.0) {
            return BURST_RATE_FACTOR;
        }
        if (run.fault() == RunSpec.Fault.FLOOD
                && smallest
                && sinceFault >= 0
                && sinceFault < measuredNanos / 3.0) {
            return FLOOD_RATE_FACTOR;
        }
        return 1;
    }

    private static SimulatedRequest request(
            final String id,
            final ServiceTraffic traffic,
            final int customer,
            final long arrivalNanos,
            final SplittableRandom random) {
        final int prefixTokens = traffic.prefixTokens();
        final int promptTokens =
                traffic.promptLength().lengthFor(random.nextGaussian()) + prefixTokens;
        final int outputTokens = traffic.outputLength().lengthFor(random.nextGaussian());
        final long plainNanos =
                (long)
                        (traffic.medianPlainNanos()
                                * Math.exp(PLAIN_TIME_SIGMA * random.nextGaussian()));
        final long prefixHash =
                prefixTokens == 0 ? 0 : 31L * traffic.service().id().hashCode() + customer + 1;
        final PendingRequest pending =
                new PendingRequest(
                        id,
                        Deployment.customerId(customer),
                        traffic.service().id(),
                        traffic.service().tier(),
                        arrivalNanos,
                        arrivalNanos + traffic.service().deadline().toNanos(),
                        promptTokens,
                        traffic.service().maximumOutputTokens(),
                        prefixHash,
                        prefixTokens,
                        Set.of(),
                        false);
        return new SimulatedRequest(pending, traffic.service(), outputTokens, plainNanos);
    }
}
