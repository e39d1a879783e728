package io.persimmonreel.daemon.relay;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.persimmonreel.core.time.TimeSource;

/** Throws an exception or an error at a chosen call of the dialect or of the log. */
final class VirtualFaults implements TimeSource {
    private int mCallsLeft;
    private boolean mIsError;
    private int mMaximumDepth;

    /** Is thrown in the relay by a test. */
    static final class ExpectedException extends RuntimeException {
        private static final long serialVersionUID = 1;

        ExpectedException() {
            super("expected in this test");
        }
    }

    /** Is thrown in the relay by a test. */
    static final class ExpectedError extends Error {
        private static final long serialVersionUID = 1;

        ExpectedError() {
            super("expected in this test");
        }
    }

    /** Lets a call fail, counted from now. */
    void arm(final int calls, final boolean isError) {
        mCallsLeft = calls;
        mIsError = isError;
    }

    void disarm() {
        mCallsLeft = 0;
        mMaximumDepth = 0;
    }

    /** Returns the greatest depth of the stack at a call since the last {@link #disarm}. */
    int maximumDepth() {
        return mMaximumDepth;
    }

    RelayDialect in(final RelayDialect dialect) {
        return new RelayDialect() {
            @Override
            public CallerHeaders readRequest(final HttpRequest request) {
                pass();
                return dialect.readRequest(request);
            }

            @Override
            public void writeRequest(final HttpHeaders headers, final DispatchHeaders dispatch) {
                measureDepth();
                pass();
                dialect.writeRequest(headers, dispatch);
            }

            @Override
            public ReplicaHeaders readResponse(final HttpResponse response) {
                pass();
                return dialect.readResponse(response);
            }

            @Override
            public String attemptField() {
                return dialect.attemptField();
            }

            @Override
            public String retryAfter(final long millis) {
                measureDepth();
                pass();
                return dialect.retryAfter(millis);
            }
        };
    }

    @Override
    public long monotonicNanos() {
        return 0;
    }

    @Override
    public long wallMillis() {
        pass();
        return 0;
    }

    private void pass() {
        if (mCallsLeft > 0 && --mCallsLeft == 0) {
            if (mIsError) {
                throw new ExpectedError();
            }
            throw new ExpectedException();
        }
    }

    private void measureDepth() {
        mMaximumDepth =
                Math.max(
                        mMaximumDepth,
                        StackWalker.getInstance().walk(frames -> (int) frames.count()));
    }
}
