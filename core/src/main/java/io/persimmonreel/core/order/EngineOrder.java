package io.persimmonreel.core.order;

/**
 * A command to an engine to load a model. Commands are idempotent.
 *
 * @param replica the replica's id
 * @param address the replica's address as {@code ip:port}
 * @param kind the kind of the order, {@code load}
 * @param model the model
 * @param modelVersion the model version
 * @param fence the fencing token, which is the version of the configuration
 */
public record EngineOrder(
        String replica,
        String address,
        String kind,
        String model,
        String modelVersion,
        long fence) {}
