package io.persimmonreel.daemon.relay;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/** Ignores the rest of a response that is not used. */
final class IgnoringListener implements ExchangeListener {
    @Override
    public void onWritten() {}

    @Override
    public void onHeaders(final HttpResponse response, final ReplicaHeaders replicaHeaders) {}

    @Override
    public void onBody(final ByteBuf bytes) {}

    @Override
    public void onEnd() {}

    @Override
    public void onFailed(final String reason) {}
}
