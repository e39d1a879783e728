package io.persimmonreel.core.stream;

import io.persimmonreel.core.peer.Incarnation;
import io.persimmonreel.core.peer.PeerMessage.StreamTransfer;
import io.persimmonreel.core.peer.StreamOrigin;
import io.persimmonreel.core.peer.StreamQuestion;
import io.persimmonreel.core.stream.StreamOrigins.Origin;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Records where streams begin, tells it to peers that could not know, and finds out at which
 * software version a stream goes on that a caller continues.
 *
 * <p>While an upstream has only one version, nothing is told. Peers answer a question from their
 * records; if the one that asks has not observed the directory for long enough, they also answer
 * from their view of it. Not thread safe.
 *
 * @param <T> the type of requests of callers
 */
public final class StreamExchange<T> {
    /** The maximum number of origins in a message, which fit into a frame. */
    private static final int MAXIMUM_ORIGINS = 2_048;

    /**
     * The time after which a question is repeated, since messages may be lost and peers may be
     * connected anew.
     */
    private static final long REPEAT_NANOS = TimeUnit.MILLISECONDS.toNanos(60);

    private final StreamVersions mVersions;
    private final StreamRouting mRouting;
    private final Listener<T> mListener;
    private final Continuations<T> mRequests;
    private final Continuations<PeerQuestion> mQuestions;
    private final Map<Incarnation, List<StreamOrigin>> mOriginsToSend = new LinkedHashMap<>();
    private final Map<Incarnation, List<StreamQuestion>> mQuestionsToSend = new LinkedHashMap<>();
    private final Map<T, StreamQuestion> mAsked = new LinkedHashMap<>();
    private long mAskedNanos;
    private long mNowNanos;

    /**
     * Receives the decisions on requests that continue a stream.
     *
     * @param <T> the type of requests
     */
    public interface Listener<T> {
        /**
         * Handles a request whose stream goes on at the version that began it.
         *
         * @param request the request
         * @param version the software version
         */
        void onVersion(T request, String version);

        /**
         * Handles a request whose stream must not go on.
         *
         * @param request the request
         * @param confirmed whether the directory confirmed this daemon's view of it
         */
        void onUnknown(T request, boolean confirmed);
    }

    /** Identifies a question of a peer. */
    private record PeerQuestion(Incarnation from, long stream) {}

    /**
     * Creates an exchange.
     *
     * @param versions the versions of streams
     * @param routing the peers and the directory
     * @param listener receives the decisions
     */
    public StreamExchange(
            final StreamVersions versions,
            final StreamRouting routing,
            final Listener<T> listener) {
        mVersions = versions;
        mRouting = routing;
        mListener = listener;
        mRequests = new Continuations<>(versions, new RequestListener());
        mQuestions = new Continuations<>(versions, new QuestionListener());
    }

    /**
     * Records the first event of a stream.
     *
     * @param upstream the upstream that serves it
     * @param attemptId the id of the caller's attempt
     * @param version the software version of the replica
     * @param nowNanos the current monotonic time in nanoseconds
     */
    public void onBegun(
            final String upstream,
            final String attemptId,
            final String version,
            final long nowNanos) {
        mNowNanos = nowNanos;
        final long stream = StreamKey.of(upstream, attemptId);
        final Origin origin = new Origin(version, nowNanos);
        record(stream, origin);
        if (mVersions.needsOrigin(upstream, nowNanos)) {
            tell(stream, origin);
        }
    }

    /**
     * Decides on a request that continues a stream, now or later.
     *
     * @param request the request
     * @param upstream the upstream that serves it
     * @param attemptId the attempt that brought the first event, null if the caller names none
     * @param ageMillis the longest time since the first attempt, in milliseconds
     * @param nowNanos the current monotonic time in nanoseconds
     */
    public void begin(
            final T request,
            final String upstream,
            final String attemptId,
            final long ageMillis,
            final long nowNanos) {
        mNowNanos = nowNanos;
        final Optional<Long> stream =
                Optional.ofNullable(attemptId)
                        .filter(id -> !id.isEmpty())
                        .map(id -> StreamKey.of(upstream, id));
        final long ageNanos = TimeUnit.MILLISECONDS.toNanos(ageMillis);
        if (mRequests.begin(request, stream, upstream, ageNanos, nowNanos)) {
            return;
        }
        mRouting.confirm(now -> mRequests.onConfirmed(request, now));
        stream.ifPresent(
                key -> {
                    final StreamQuestion question =
                            new StreamQuestion(
                                    key,
                                    upstream,
                                    ageMillis,
                                    mVersions.needsOrigin(upstream, nowNanos));
                    mAsked.put(request, question);
                    ask(question, null);
                });
    }

    /**
     * Applies a message of a peer.
     *
     * @param from the peer
     * @param transfer the message
     * @param nowNanos the current monotonic time in nanoseconds
     */
    public void onTransfer(
            final Incarnation from, final StreamTransfer transfer, final long nowNanos) {
        mNowNanos = nowNanos;
        for (final StreamOrigin origin : transfer.origins()) {
            final long ageNanos = TimeUnit.MILLISECONDS.toNanos(Math.max(0, origin.ageMillis()));
            final Origin recorded = new Origin(origin.version(), nowNanos - ageNanos);
            record(origin.stream(), recorded);
            if (mRouting.isForwardedFor(from)) {
                tell(origin.stream(), recorded);
            }
        }
        for (final StreamQuestion question : transfer.questions()) {
            onQuestion(from, question, nowNanos);
        }
    }

    /**
     * Refuses requests that waited for too long, and forgets old streams.
     *
     * @param nowNanos the current monotonic time in nanoseconds
     */
    public void onTimer(final long nowNanos) {
        mNowNanos = nowNanos;
        mVersions.onCutOff(mRouting.isAnyCutOff());
        if (nowNanos - mAskedNanos >= REPEAT_NANOS) {
            mAskedNanos = nowNanos;
            mAsked.values().forEach(question -> ask(question, null));
        }
        mRequests.onTimer(nowNanos);
        mQuestions.onTimer(nowNanos);
        mVersions.origins().removeExpired(nowNanos);
    }

    /**
     * Forgets a request that ended.
     *
     * @param request the request
     */
    public void remove(final T request) {
        mAsked.remove(request);
        mRequests.remove(request);
    }

    /**
     * Sends what is due to peers.
     *
     * @param nowNanos the current monotonic time in nanoseconds
     */
    public void flush(final long nowNanos) {
        mNowNanos = nowNanos;
        final Map<Incarnation, List<StreamOrigin>> origins = new LinkedHashMap<>(mOriginsToSend);
        mOriginsToSend.clear();
        final Map<Incarnation, List<StreamQuestion>> questions =
                new LinkedHashMap<>(mQuestionsToSend);
        mQuestionsToSend.clear();
        origins.forEach(
                (peer, list) -> {
                    final List<StreamQuestion> asked = questions.remove(peer);
                    mRouting.send(
                            peer, new StreamTransfer(list, asked == null ? List.of() : asked));
                });
        questions.forEach((peer, list) -> mRouting.send(peer, new StreamTransfer(List.of(), list)));
    }

    private void onQuestion(
            final Incarnation from, final StreamQuestion question, final long nowNanos) {
        final PeerQuestion asked = new PeerQuestion(from, question.stream());
        final boolean isDecided =
                mQuestions.begin(
                        asked,
                        Optional.of(question.stream()),
                        question.upstream(),
                        TimeUnit.MILLISECONDS.toNanos(Math.max(0, question.ageMillis())),
                        nowNanos);
        if (isDecided) {
            return;
        }
        if (question.judge()) {
            mRouting.confirm(now -> mQuestions.onConfirmed(asked, now));
        }
        if (mRouting.isForwardedFor(from)) {
            ask(question, from);
        }
    }

    private void record(final long stream, final Origin origin) {
        mVersions.origins().record(stream, origin);
        mRequests.onOrigin(stream, origin);
        mQuestions.onOrigin(stream, origin);
    }

    private void tell(final long stream, final Origin origin) {
        mRouting.holders(stream).forEach(peer -> send(peer, stream, origin));
    }

    private void send(final Incarnation peer, final long stream, final Origin origin) {
        final List<StreamOrigin> origins =
                mOriginsToSend.computeIfAbsent(peer, name -> new ArrayList<>());
        if (origins.size() < MAXIMUM_ORIGINS) {
            final long ageNanos = Math.max(0, mNowNanos - origin.beganNanos());
            origins.add(
                    new StreamOrigin(
                            stream, origin.version(), TimeUnit.NANOSECONDS.toMillis(ageNanos)));
        }
        mRouting.requestFlush();
    }

    private void ask(final StreamQuestion question, final Incarnation except) {
        for (final Incarnation peer : mRouting.holders(question.stream())) {
            if (!peer.equals(except)) {
                mQuestionsToSend.computeIfAbsent(peer, name -> new ArrayList<>()).add(question);
                mRouting.requestFlush();
            }
        }
    }

    /** Passes decisions on to the requests of callers. */
    private final class RequestListener implements Continuations.Listener<T> {
        @Override
        public void onKnown(final T request, final Origin origin) {
            mAsked.remove(request);
            mListener.onVersion(request, origin.version());
        }

        @Override
        public void onUnknown(final T request, final boolean confirmed) {
            mAsked.remove(request);
            mListener.onUnknown(request, confirmed);
        }
    }

    /** Answers the questions of peers; one without an answer is not answered. */
    private final class QuestionListener implements Continuations.Listener<PeerQuestion> {
        @Override
        public void onKnown(final PeerQuestion question, final Origin origin) {
            send(question.from(), question.stream(), origin);
        }

        @Override
        public void onUnknown(final PeerQuestion question, final boolean confirmed) {}
    }
}
