package io.persimmonreel.daemon.request;

/** Receives a summary of each finished request. Implementations are thread safe and never block. */
@FunctionalInterface
public interface RequestObserver {
    /**
     * Receives a finished request.
     *
     * @param summary the summary of the request
     */
    void onFinished(RequestSummary summary);
}
