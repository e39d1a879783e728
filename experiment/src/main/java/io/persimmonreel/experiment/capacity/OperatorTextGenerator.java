package io.persimmonreel.experiment.capacity;

/** Generates valid operator texts with a given number of customers and replicas. */
final class OperatorTextGenerator {
    private static final int FIRST_PORT = 10_000;
    private static final int PORTS = 50_000;
    private static final int GENERATIONS = 3;
    private static final int HOSTS_PER_SUBNET = 250;

    private OperatorTextGenerator() {}

    /**
     * Generates an operator text that passes all checks.
     *
     * @param customers the number of customers
     * @param replicas the number of replicas of each of the five upstreams
     * @return the operator text
     */
    static String text(final int customers, final int replicas) {
        final StringBuilder text = new StringBuilder(customers * 140 + replicas * 500 + 4_000);
        text.append("format: 1\nfleet: {name: large, maximumDaemons: 7, claimGroups: 126, ")
                .append("clockSkew: 2s, opaqueKeyRepeat: 10m, zones: [a, b, c, d, e, f, g]}\n")
                .append("customers:\n");
        for (int i = 0; i < customers; i++) {
            text.append("- {id: c").append(i).append(", keyDigests: [\"sha256:");
            text.append(String.format("%064x", i + 1L));
            text.append("\"], share: 1, maximumConcurrent: 10, requestsPerSecond: 5}\n");
        }
        text.append("upstreams:\n");
        for (int model = 0; model < 5; model++) {
            appendUpstream(text, model, replicas);
        }
        text.append("services:\n");
        for (int model = 0; model < 5; model++) {
            text.append("- {id: s").append(model).append(", upstream: m").append(model);
            text.append(", tier: normal, idempotent: true, dependsOn: [], deadline: 30s, ")
                    .append("maximumBodyBytes: 65536, maximumOutputTokens: 500, ")
                    .append("objective: {target: 0.95, firstToken: 730ms, ")
                    .append("betweenTokens: 30ms, complete: 20s}}\n");
        }
        return text.append("weightStore: {loadsPerMinute: 60}\n").toString();
    }

    private static void appendUpstream(
            final StringBuilder text, final int model, final int replicas) {
        text.append("- {id: m").append(model).append(", kind: engine, checksFencing: true, ");
        text.append("checksKeys: false, model: m").append(model);
        text.append(", modelVersion: \"1\", replicas: [\n");
        for (int i = 0; i < replicas; i++) {
            final int number = model * replicas + i;
            text.append("  {id: m").append(model).append('-').append(i);
            text.append(", address: \"10.").append(1 + number / PORTS).append('.');
            text.append(number / HOSTS_PER_SUBNET % HOSTS_PER_SUBNET)
                    .append('.')
                    .append(1 + number % HOSTS_PER_SUBNET);
            text.append(':').append(FIRST_PORT + number % PORTS).append("\", zone: ");
            text.append((char) ('a' + i % 7)).append(", generation: g");
            text.append(1 + i % GENERATIONS).append(", concurrency: 32}");
            text.append(i + 1 < replicas ? ",\n" : "]}\n");
        }
    }
}
