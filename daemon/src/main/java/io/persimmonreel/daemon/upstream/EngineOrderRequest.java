package io.persimmonreel.daemon.upstream;

/**
 * Describes an order to an engine, as sent in the body of the HTTP request.
 *
 * @param kind the kind of the order, {@code load} or {@code role}
 * @param model the model
 * @param version the model version
 * @param fence the fencing number, which is the version of the configuration
 */
public record EngineOrderRequest(String kind, String model, String version, long fence) {}
