package io.persimmonreel.daemon.upstream;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import io.persimmonreel.core.schedule.LoadReport;

/**
 * Describes the load and the model of a replica, as the replica reports them. Fields that a plain
 * service omits are 0 or null.
 *
 * @param replica the replica's id
 * @param generation the hardware generation
 * @param running the number of requests in the batch
 * @param waiting the number of requests admitted but not yet in the batch
 * @param prefillBacklogTokens the number of prompt tokens not yet processed
 * @param kvUsedTokens the number of tokens held in the KV cache
 * @param kvCapacityTokens the number of tokens that fit in the KV cache
 * @param model the loaded model
 * @param modelVersion the loaded model version
 * @param fence the fencing number of the last accepted order
 * @param ageMillis the age of the reported values in milliseconds
 */
@JsonIgnoreProperties(ignoreUnknown = true)
public record ReplicaReport(
        String replica,
        String generation,
        int running,
        int waiting,
        int prefillBacklogTokens,
        int kvUsedTokens,
        int kvCapacityTokens,
        String model,
        String modelVersion,
        long fence,
        long ageMillis) {
    /**
     * Returns the part of the report that the scheduler uses.
     *
     * @return the load report
     */
    public LoadReport loadReport() {
        return new LoadReport(
                replica,
                running,
                waiting,
                prefillBacklogTokens,
                kvUsedTokens,
                kvCapacityTokens,
                ageMillis);
    }
}
