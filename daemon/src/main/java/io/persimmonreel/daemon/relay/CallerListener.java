package io.persimmonreel.daemon.relay;

/**
 * Receives requests from callers and changes of their connections. All methods run on the event
 * loop.
 */
interface CallerListener {
    /**
     * Reports a request that arrived completely.
     *
     * @param request the request
     */
    void onRequest(CallerRequest request);

    /**
     * Reports that the caller closed the connection before its response was complete.
     *
     * @param request the request
     */
    void onCallerGone(CallerRequest request);

    /**
     * Reports that the connection of a caller became writable or stopped being writable.
     *
     * @param request the request
     * @param writable whether the connection accepts more bytes
     */
    void onCallerWritable(CallerRequest request, boolean writable);
}
