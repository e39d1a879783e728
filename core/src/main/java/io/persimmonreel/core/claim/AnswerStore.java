package io.persimmonreel.core.claim;

import io.persimmonreel.core.request.RequestIdentity;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Stores the answers to finished requests for a limited time, so that a repeated request gets the
 * same answer. A full store drops the oldest answers.
 */
final class AnswerStore {
    /**
     * Holds the HTTP response to a finished request.
     *
     * @param contentDigest SHA-256 of the request's body
     * @param status the HTTP status
     * @param contentType the media type of the response
     * @param body the body of the response
     * @param storedNanos the monotonic time at which the response was stored
     */
    record Answer(
            String contentDigest, int status, String contentType, byte[] body, long storedNanos) {}

    private record StoredAnswer(RequestIdentity identity, Answer answer) {}

    private final ConcurrentHashMap<RequestIdentity, Answer> mAnswers = new ConcurrentHashMap<>();
    private final ConcurrentLinkedQueue<StoredAnswer> mOldestFirst = new ConcurrentLinkedQueue<>();
    private final AtomicLong mStoredBytes = new AtomicLong();
    private final long mMaximumBytes;

    AnswerStore(final long maximumBytes) {
        mMaximumBytes = maximumBytes;
    }

    void put(final RequestIdentity identity, final Answer answer) {
        if (answer.body().length > ClaimLimits.MAXIMUM_ANSWER_BYTES
                || mAnswers.putIfAbsent(identity, answer) != null) {
            return;
        }
        mOldestFirst.add(new StoredAnswer(identity, answer));
        mStoredBytes.addAndGet(answer.body().length);
        while (mStoredBytes.get() > mMaximumBytes && dropOldest()) {
            continue;
        }
    }

    Optional<Answer> find(final RequestIdentity identity, final long nowNanos) {
        return Optional.ofNullable(mAnswers.get(identity))
                .filter(
                        answer ->
                                nowNanos - answer.storedNanos()
                                        <= ClaimLimits.ANSWER_MAX_AGE_NANOS);
    }

    void expire(final long nowNanos) {
        StoredAnswer oldest = mOldestFirst.peek();
        while (oldest != null
                && nowNanos - oldest.answer().storedNanos() > ClaimLimits.ANSWER_MAX_AGE_NANOS) {
            dropOldest();
            oldest = mOldestFirst.peek();
        }
    }

    private boolean dropOldest() {
        final StoredAnswer oldest = mOldestFirst.poll();
        if (oldest == null) {
            return false;
        }
        if (mAnswers.remove(oldest.identity(), oldest.answer())) {
            mStoredBytes.addAndGet(-oldest.answer().body().length);
        }
        return true;
    }
}
