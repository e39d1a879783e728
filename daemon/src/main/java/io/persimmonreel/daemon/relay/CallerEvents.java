package io.persimmonreel.daemon.relay;

/** Receives what callers do. All methods run on the event loop. */
interface CallerEvents {
    /**
     * Reports a request that arrived whole.
     *
     * @param request the request
     */
    void onRequest(CallerRequest request);

    /**
     * Reports that the caller of a request is gone before its answer was whole.
     *
     * @param request the request
     */
    void onCallerGone(CallerRequest request);

    /**
     * Reports that a caller takes bytes again after a pause, or does not.
     *
     * @param request the request
     * @param writable whether it takes bytes
     */
    void onCallerWritable(CallerRequest request, boolean writable);
}
