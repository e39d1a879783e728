package io.persimmonreel.daemon.relay;

import io.netty.handler.codec.http.HttpStatusClass;
import java.util.Optional;

/**
 * Compares the response to a caller with the responses of the replicas that it was made from. It
 * only reports; failures that the relay itself responds with are not checked.
 */
final class ExchangeCheck {
    private ExchangeCheck() {}

    /** Lists the ways in which a response to a caller may differ from that of the replica. */
    enum Mismatch {
        /** The status is not the replica's, or that of a resumed stream is no success. */
        STATUS("status"),
        /** The response of the replica carries another attempt id than the request. */
        ATTEMPT_ID("attempt-id"),
        /** A success lacks the proof that a replica created it. */
        SIGNATURE("signature"),
        /** The response ended as complete, but that of the replica is not whole. */
        END("end"),
        /** The body has another size than the replica's, or than the replica declared. */
        LENGTH("length");

        private final String mLabel;

        Mismatch(final String label) {
            mLabel = label;
        }

        /** Returns the name in the log and in the metrics. */
        String label() {
            return mLabel;
        }
    }

    /**
     * Returns the first mismatch, in the order of {@link Mismatch}.
     *
     * @param attemptId the attempt id of the request
     * @param first the exchange that the response to the caller began with
     * @param last the last exchange, another one than the first if the stream was resumed
     * @param skipsEvents whether events that the caller already has may have been left out
     */
    static Optional<Mismatch> check(
            final String attemptId,
            final UpstreamExchange first,
            final UpstreamExchange last,
            final boolean skipsEvents) {
        final boolean resumed = first != last;
        if (!hasStatusOfReplica(first)
                || resumed && last.isForwardedToEnd() && !isSuccess(last.status())) {
            return Optional.of(Mismatch.STATUS);
        }
        if (!isAnswerTo(attemptId, first)
                || last.isForwardedToEnd() && !isAnswerTo(attemptId, last)) {
            return Optional.of(Mismatch.ATTEMPT_ID);
        }
        if (isSuccess(first.forwardedStatus()) && !first.isGenuine()) {
            return Optional.of(Mismatch.SIGNATURE);
        }
        if (last.isForwardedToEnd() && !last.isWhole()) {
            return Optional.of(Mismatch.END);
        }
        return resumed || skipsEvents || hasLengthOfReplica(first)
                ? Optional.empty()
                : Optional.of(Mismatch.LENGTH);
    }

    private static boolean hasStatusOfReplica(final UpstreamExchange exchange) {
        return exchange.hasResponse() && exchange.forwardedStatus() == exchange.status();
    }

    private static boolean isAnswerTo(final String attemptId, final UpstreamExchange exchange) {
        return attemptId.equals(exchange.attemptId())
                && attemptId.equals(exchange.responseAttemptId());
    }

    private static boolean isSuccess(final int status) {
        return HttpStatusClass.valueOf(status) == HttpStatusClass.SUCCESS;
    }

    private static boolean hasLengthOfReplica(final UpstreamExchange exchange) {
        if (!exchange.isForwardedToEnd()) {
            return exchange.bytesForwarded() <= exchange.bytesReceived();
        }
        return exchange.bytesForwarded() == exchange.bytesReceived()
                && (exchange.framing() != ResponseFraming.LENGTH
                        || exchange.bytesReceived() == exchange.declaredLength());
    }
}
