package io.persimmonreel.daemon.relay;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** Records what replicas and the caller saw of one request, and checks it. */
final class VirtualRequest {
    private static final int EVENTS = 5;

    private final String mId;
    private final Kind mKind;
    private final byte[] mBody;
    private final List<Answer> mAnswers = new ArrayList<>();
    private int mRuns;
    private boolean mPromisedNotRun;
    private boolean mCallerGone;

    /** Lists the kinds of requests by their routes. */
    enum Kind {
        LOOKUP("/lookup/", true, false),
        CHARGE("/charge/", false, false),
        DRAFT("/draft/", true, true),
        NOTES("/notes/", false, true);

        private final String mPrefix;
        private final boolean mMayRepeat;
        private final boolean mStream;

        Kind(final String prefix, final boolean mayRepeat, final boolean stream) {
            mPrefix = prefix;
            mMayRepeat = mayRepeat;
            mStream = stream;
        }

        String prefix() {
            return mPrefix;
        }

        boolean isStream() {
            return mStream;
        }
    }

    /** Holds the first response that a replica gave to a request over one connection. */
    static final class Answer {
        private final int mStatus;
        private final byte[] mBody;
        private final boolean mEndsWithConnection;
        private boolean mComplete;

        Answer(final int status, final byte[] body, final boolean endsWithConnection) {
            mStatus = status;
            mBody = body;
            mEndsWithConnection = endsWithConnection;
        }

        /** Returns whether the end of the input shows the end of the answer. */
        boolean endsWithConnection() {
            return mEndsWithConnection;
        }

        int status() {
            return mStatus;
        }

        byte[] body() {
            return mBody;
        }

        void onComplete() {
            mComplete = true;
        }
    }

    VirtualRequest(final String id, final Kind kind, final byte[] body) {
        mId = id;
        mKind = kind;
        mBody = body;
    }

    String id() {
        return mId;
    }

    Kind kind() {
        return mKind;
    }

    byte[] body() {
        return mBody;
    }

    void addAnswer(final Answer answer) {
        mAnswers.add(answer);
    }

    /** Returns the events of a stream after the event with a number. */
    String events(final int after) {
        final StringBuilder events = new StringBuilder();
        for (int i = after + 1; i <= EVENTS; i++) {
            events.append("id: ").append(i).append("\ndata: ").append(mId).append("\n\n");
        }
        return events.toString();
    }

    void onCallerGone() {
        mCallerGone = true;
    }

    /** Checks a request that arrives at a replica; one that was sent before may still arrive. */
    void onArrival() {
        check(
                !mCallerGone || !mKind.mMayRepeat && !mKind.mStream,
                "arrives after its caller has left");
    }

    void onRun() {
        mRuns++;
        check(!mPromisedNotRun, "runs after it was answered as not run");
        check(mKind.mMayRepeat || mRuns == 1, "must not be repeated and runs twice");
    }

    /** Checks the head of the response to the caller. */
    void onResponseHead(final int status, final String attemptId) {
        if (status == 408 || status == 421 || status == 429 || status == 503) {
            mPromisedNotRun = true;
            check(mRuns == 0, "has run and is answered " + status);
        }
        if (attemptId == null) {
            check(status >= 400, "is answered " + status + " by no replica");
        } else {
            check(attemptId.equals(mId), "gets the answer of " + attemptId);
            check(
                    mAnswers.stream().anyMatch(answer -> answer.mStatus == status),
                    "is answered " + status + ", which no replica answered first");
        }
    }

    /** Checks a complete response to the caller that a replica made. */
    void onResponseEnd(final int status, final byte[] body) {
        if (mKind == Kind.DRAFT && status == 200) {
            check(
                    new String(body, StandardCharsets.UTF_8).equals(events(0))
                                    && mAnswers.stream().anyMatch(answer -> answer.mComplete)
                            || hasAnswer(status, body),
                    "ends as complete with " + body.length + " bytes");
        } else {
            check(hasAnswer(status, body), "ends as complete, unlike its answer");
        }
    }

    private boolean hasAnswer(final int status, final byte[] body) {
        return mAnswers.stream()
                .anyMatch(
                        answer ->
                                answer.mStatus == status
                                        && answer.mComplete
                                        && Arrays.equals(answer.mBody, body));
    }

    void check(final boolean holds, final String violation) {
        if (!holds) {
            throw new AssertionError("request " + mId + " of " + mKind + " " + violation);
        }
    }
}
