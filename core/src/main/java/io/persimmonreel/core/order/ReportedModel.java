package io.persimmonreel.core.order;

/**
 * Holds a replica's report of the model it has loaded.
 *
 * @param replica the replica's id
 * @param model the loaded model, empty if none
 * @param modelVersion the loaded model version, empty if none
 * @param fence the fencing token of the last order that the replica accepted, 0 if none
 */
public record ReportedModel(String replica, String model, String modelVersion, long fence) {}
