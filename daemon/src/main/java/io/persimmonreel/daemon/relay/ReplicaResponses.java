package io.persimmonreel.daemon.relay;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;

/** Classifies the responses of replicas. */
final class ReplicaResponses {
    /**
     * The maximum size of a buffered response; a larger one is streamed to the caller while it
     * arrives.
     */
    static final int MAXIMUM_BUFFERED_BYTES = 256 * 1024;

    private static final int LOWEST_STATUS = 100;
    private static final int HIGHEST_STATUS = 599;

    private ReplicaResponses() {}

    /** Returns whether a response can have a status, whether or not the status is known. */
    static boolean isValid(final HttpResponseStatus status) {
        return status.code() >= LOWEST_STATUS && status.code() <= HIGHEST_STATUS;
    }

    /** Returns whether a response is a successful stream of events. */
    static boolean isEventStream(final HttpResponse response) {
        final String type = response.headers().get(HttpHeaderNames.CONTENT_TYPE);
        return response.status().codeClass() == HttpStatusClass.SUCCESS
                && type != null
                && type.startsWith(HttpHeaderValues.TEXT_EVENT_STREAM.toString());
    }

    /** Returns whether a status means that the request was sent to the wrong replica. */
    static boolean isMisdirected(final HttpResponseStatus status) {
        return status.code() == HttpResponseStatus.MISDIRECTED_REQUEST.code();
    }

    /** Returns whether callers take a status to mean that the request did not run. */
    static boolean impliesNotRun(final HttpResponseStatus status) {
        return status.code() == HttpResponseStatus.SERVICE_UNAVAILABLE.code()
                || status.code() == HttpResponseStatus.TOO_MANY_REQUESTS.code()
                || status.code() == HttpResponseStatus.REQUEST_TIMEOUT.code();
    }
}
