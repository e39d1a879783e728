package io.persimmonreel.daemon.http;

import io.persimmonreel.core.request.ProblemType;

/** Is notified of requests that are refused before they are submitted to the coordinator. */
@FunctionalInterface
public interface RefusalObserver {
    /**
     * Replaces ids of services that are not configured, so that callers can't add metric labels.
     */
    String UNKNOWN_SERVICE = "unknown";

    /**
     * Notes a refused request.
     *
     * @param service the service's id, {@link #UNKNOWN_SERVICE} if it is not configured
     * @param type why the request was refused
     */
    void onRefused(String service, ProblemType type);
}
