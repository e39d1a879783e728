package io.persimmonreel.fakes;

import java.util.Map;

/**
 * Counts the work of an engine since it was created, crashes included.
 *
 * @param runs how often each stream id was started; resuming a stream does not count
 * @param prefillTokensDone the number of prompt tokens processed
 * @param prefillTokensRestarted the prompt tokens processed for stream ids that were started before
 * @param prefillTokensDiscarded the prompt tokens processed for streams that were discarded
 *     unfinished; an exported stream counts at the engine that imported it
 * @param modelLoads how often another model or model version was loaded
 * @param ordersRefused the number of orders refused because of an old fencing number
 */
public record EngineStats(
        Map<String, Integer> runs,
        long prefillTokensDone,
        long prefillTokensRestarted,
        long prefillTokensDiscarded,
        int modelLoads,
        int ordersRefused) {
    /** Makes an immutable copy of the map. */
    public EngineStats {
        runs = Map.copyOf(runs);
    }
}
