package io.persimmonreel.daemon.request;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * Collects the tokens of one answer, which may arrive over several connections. Connections are
 * numbered, and tokens of any but the latest are ignored. Instances are thread safe.
 */
final class AnswerBuffer {
    private final StringBuilder mText = new StringBuilder();
    private int mTokenCount;
    private int mCurrentConnection;

    /**
     * Registers a new connection, which replaces the previous one.
     *
     * @return the number of the connection
     */
    synchronized int startConnection() {
        return ++mCurrentConnection;
    }

    synchronized boolean isCurrent(final int connection) {
        return connection == mCurrentConnection;
    }

    /**
     * Appends a token and passes it to the sink. The lock is held meanwhile, so that the sink
     * receives tokens of two connections in order.
     *
     * @param connection the number of the connection
     * @param index the position of the token in the answer
     * @param text the token's text
     * @param sink receives the token
     * @return true if the token was appended, false if it is of an old connection or out of order
     */
    synchronized boolean append(
            final int connection, final int index, final String text, final AnswerSink sink) {
        if (connection != mCurrentConnection || index != mTokenCount) {
            return false;
        }
        mText.append(text);
        mTokenCount++;
        sink.onToken(index, text);
        return true;
    }

    synchronized int tokenCount() {
        return mTokenCount;
    }

    synchronized String text() {
        return mText.toString();
    }

    synchronized String sha256() {
        try {
            final MessageDigest digest = MessageDigest.getInstance("SHA-256");
            return HexFormat.of()
                    .formatHex(digest.digest(mText.toString().getBytes(StandardCharsets.UTF_8)));
        } catch (final NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
    }
}
