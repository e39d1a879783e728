package io.persimmonreel.fakes;

/**
 * Describes a fake engine.
 *
 * @param replica the replica's id
 * @param generation the hardware generation
 * @param speed the speed
 * @param concurrency the maximum number of streams in the batch
 * @param kvCapacityTokens the number of tokens that fit in memory
 * @param model the model loaded at the start
 * @param modelVersion the model version loaded at the start
 * @param checksFencing whether orders with an old fencing number are refused
 * @param reportAgeMillis the minimum age of load reports in milliseconds
 * @param eventDelayMillis the delay of cache events in milliseconds
 * @param lostEventInterval cache events whose number is a multiple of this are lost; 0 loses none
 */
public record EngineSettings(
        String replica,
        String generation,
        EngineSpeed speed,
        int concurrency,
        int kvCapacityTokens,
        String model,
        String modelVersion,
        boolean checksFencing,
        long reportAgeMillis,
        long eventDelayMillis,
        int lostEventInterval) {
    private static final int KV_CAPACITY_TOKENS = 200_000;
    private static final int REPORT_AGE_MILLIS = 200;
    private static final int EVENT_DELAY_MILLIS = 300;
    private static final int LOST_EVENT_INTERVAL = 20;

    /**
     * Creates settings with default values for a hardware generation.
     *
     * @param replica the replica's id
     * @param generation the hardware generation
     * @param concurrency the maximum number of streams in the batch
     * @param model the model loaded at the start
     * @param modelVersion the model version loaded at the start
     * @param checksFencing whether orders with an old fencing number are refused
     * @return the settings
     */
    public static EngineSettings of(
            final String replica,
            final String generation,
            final int concurrency,
            final String model,
            final String modelVersion,
            final boolean checksFencing) {
        return new EngineSettings(
                replica,
                generation,
                EngineSpeed.ofGeneration(generation),
                concurrency,
                KV_CAPACITY_TOKENS,
                model,
                modelVersion,
                checksFencing,
                REPORT_AGE_MILLIS,
                EVENT_DELAY_MILLIS,
                LOST_EVENT_INTERVAL);
    }

    /**
     * Returns a copy with another speed.
     *
     * @param value the speed
     * @return the copy
     */
    public EngineSettings withSpeed(final EngineSpeed value) {
        return new EngineSettings(
                replica,
                generation,
                value,
                concurrency,
                kvCapacityTokens,
                model,
                modelVersion,
                checksFencing,
                reportAgeMillis,
                eventDelayMillis,
                lostEventInterval);
    }

    /**
     * Returns a copy with another memory size.
     *
     * @param value the number of tokens that fit in memory
     * @return the copy
     */
    public EngineSettings withKvCapacityTokens(final int value) {
        return new EngineSettings(
                replica,
                generation,
                speed,
                concurrency,
                value,
                model,
                modelVersion,
                checksFencing,
                reportAgeMillis,
                eventDelayMillis,
                lostEventInterval);
    }

    /**
     * Returns a copy with other delays and losses of reports.
     *
     * @param ageMillis the minimum age of load reports in milliseconds
     * @param delayMillis the delay of cache events in milliseconds
     * @param lossInterval cache events whose number is a multiple of this are lost; 0 loses none
     * @return the copy
     */
    public EngineSettings withReportDelays(
            final long ageMillis, final long delayMillis, final int lossInterval) {
        return new EngineSettings(
                replica,
                generation,
                speed,
                concurrency,
                kvCapacityTokens,
                model,
                modelVersion,
                checksFencing,
                ageMillis,
                delayMillis,
                lossInterval);
    }
}
