package io.persimmonreel.daemon.http;

import io.persimmonreel.core.request.Problem;
import io.persimmonreel.daemon.request.Answer;
import io.persimmonreel.daemon.request.AnswerSink;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;

/**
 * Turns the results of a request into one HTTP response.
 *
 * <p>A response of server-sent events starts with the first token. A failure before that is
 * answered with a problem document and its status, a later one with an event in the stream.
 */
final class ResponseSink implements AnswerSink {
    /** Lists the kinds of responses. */
    sealed interface Response {
        /** Streams server-sent events. */
        record EventStream() implements Response {}

        /**
         * Sends the whole answer at once.
         *
         * @param answer the answer
         */
        record WholeAnswer(Answer answer) implements Response {}

        /**
         * Sends a problem document.
         *
         * @param problem the problem
         */
        record Failure(Problem problem) implements Response {}

        /** Sends nothing, since the connection is closed. */
        record ConnectionClosed() implements Response {}
    }

    private final String mRequestId;
    private final boolean mStreamed;
    private final EventPublisher mEvents;
    private final Consumer<Response> mStarter;
    private final AtomicBoolean mStarted = new AtomicBoolean();

    /**
     * Creates a sink.
     *
     * @param requestId the request's id
     * @param streamed whether the caller asked for server-sent events
     * @param events publishes the events of a streamed response
     * @param starter starts the response, called at most once
     */
    ResponseSink(
            final String requestId,
            final boolean streamed,
            final EventPublisher events,
            final Consumer<Response> starter) {
        mRequestId = requestId;
        mStreamed = streamed;
        mEvents = events;
        mStarter = starter;
    }

    @Override
    public void onToken(final int index, final String text) {
        if (mStreamed) {
            final Map<String, Object> fields = new LinkedHashMap<>();
            fields.put("index", index);
            fields.put("text", text);
            mEvents.publish("token", ProblemDocument.json(fields));
            start(new Response.EventStream());
        }
    }

    @Override
    public void onAnswer(final Answer answer) {
        if (!mStreamed || answer.tokens() < 0) {
            start(new Response.WholeAnswer(answer));
            return;
        }
        final Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("requestId", mRequestId);
        fields.put("tokens", answer.tokens());
        fields.put("sha256", answer.textSha256());
        mEvents.publish("end", ProblemDocument.json(fields));
        mEvents.complete();
        start(new Response.EventStream());
    }

    @Override
    public void onProblem(final Problem problem) {
        if (!start(new Response.Failure(problem))) {
            mEvents.publish("problem", ProblemDocument.of(problem));
            mEvents.complete();
        }
    }

    /** Ends the handling of a request whose connection closed before its response started. */
    void abandon() {
        start(new Response.ConnectionClosed());
    }

    /** Starts the response unless one has started, and returns whether it did. */
    private boolean start(final Response response) {
        final boolean first = mStarted.compareAndSet(false, true);
        if (first) {
            mStarter.accept(response);
        }
        return first;
    }
}
