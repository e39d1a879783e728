package io.persimmonreel.daemon.relay;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/** Passes the progress of an exchange to a call, and ends the call if that fails unexpectedly. */
final class GuardedExchangeListener implements ExchangeListener {
    private static final String STEP = "exchange";

    private final RelayCall mCall;
    private final RelayService mService;

    GuardedExchangeListener(final RelayCall call, final RelayService service) {
        mCall = call;
        mService = service;
    }

    @Override
    public void onWritten() {
        mService.runFor(mCall, STEP, mCall::onWritten);
    }

    @Override
    public void onHeaders(final HttpResponse response, final ReplicaHeaders replicaHeaders) {
        mService.runFor(mCall, STEP, () -> mCall.onHeaders(response, replicaHeaders));
    }

    @Override
    public void onBody(final ByteBuf bytes) {
        mService.runFor(mCall, STEP, () -> mCall.onBody(bytes));
    }

    @Override
    public void onEnd() {
        mService.runFor(mCall, STEP, mCall::onEnd);
    }

    @Override
    public void onFailed(final String reason) {
        mService.runFor(mCall, STEP, () -> mCall.onFailed(reason));
    }
}
