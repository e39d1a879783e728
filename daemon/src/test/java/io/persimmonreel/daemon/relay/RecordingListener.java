package io.persimmonreel.daemon.relay;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import java.nio.charset.StandardCharsets;

/** Records what one exchange reports. */
class RecordingListener implements ExchangeListener {
    /** Lists how an exchange may stand. */
    enum Progress {
        /** No event has ended the exchange. */
        OPEN,
        /** The response was reported as complete. */
        COMPLETE,
        /** The exchange was reported as failed. */
        FAILED
    }

    private final StringBuilder mBody = new StringBuilder();
    private Progress mProgress = Progress.OPEN;
    private String mReason = "";
    private int mStatus;

    /** Returns the status of the response, 0 before its headers. */
    int status() {
        return mStatus;
    }

    String body() {
        return mBody.toString();
    }

    Progress progress() {
        return mProgress;
    }

    /** Returns the reason of the failure, empty if the exchange did not fail. */
    String reason() {
        return mReason;
    }

    @Override
    public void onWritten() {
        checkOpen("written");
    }

    @Override
    public void onHeaders(final HttpResponse response, final ReplicaHeaders replicaHeaders) {
        checkOpen("headers");
        if (mStatus != 0) {
            throw new IllegalStateException("a second response was reported");
        }
        mStatus = response.status().code();
    }

    @Override
    public void onBody(final ByteBuf bytes) {
        checkOpen("body");
        mBody.append(bytes.toString(StandardCharsets.ISO_8859_1));
    }

    @Override
    public void onEnd() {
        checkOpen("end");
        mProgress = Progress.COMPLETE;
    }

    @Override
    public void onFailed(final String reason) {
        checkOpen("failure: " + reason);
        mProgress = Progress.FAILED;
        mReason = reason;
    }

    private void checkOpen(final String event) {
        if (mProgress != Progress.OPEN) {
            throw new IllegalStateException(event + " after the exchange had ended");
        }
    }
}
