package io.persimmonreel.daemon.relay;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import io.persimmonreel.core.replica.Replica;
import io.persimmonreel.core.replica.ReplicaEntry;
import io.persimmonreel.core.time.TimeSource;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** Connects an {@link UpstreamConnection} to a test in place of a replica. */
final class UpstreamChannel implements TimeSource, ExchangeListener {
    private final Replica mReplica =
            new Replica(new ReplicaEntry("r1", "app", "127.0.0.1", 1, "zone", 4, false, 1));
    private final List<UnrequestedResponse> mUnrequested = new ArrayList<>();
    private final UpstreamConnection mConnection;
    private final EmbeddedChannel mChannel;
    private long mNowNanos;
    private boolean mCancelsOnBody;
    private boolean mEnded;
    private String mFailure;

    UpstreamChannel() {
        mConnection =
                new UpstreamConnection(
                        mReplica,
                        new UpstreamConnectionPool(
                                new SocketReplicaConnector(new EmbeddedChannel().eventLoop()),
                                new NativeDialect(),
                                this,
                                (response, nowNanos) -> mUnrequested.add(response)),
                        new NativeDialect());
        mChannel = new EmbeddedChannel(new UpstreamResponseDecoder(mConnection), mConnection);
    }

    static String response(final String attemptId, final String body) {
        return "HTTP/1.1 200 OK\r\nPersimmonreel-Attempt: "
                + attemptId
                + "\r\nContent-Length: "
                + body.length()
                + "\r\n\r\n"
                + body;
    }

    UpstreamConnection connection() {
        return mConnection;
    }

    UpstreamExchange exchange() {
        return mConnection.exchange();
    }

    EmbeddedChannel channel() {
        return mChannel;
    }

    /** Returns the reported responses that belong to no request. */
    List<UnrequestedResponse> unrequested() {
        return mUnrequested;
    }

    boolean isEnded() {
        return mEnded;
    }

    /** Returns the reason of the last failure, null if no exchange failed. */
    String failure() {
        return mFailure;
    }

    void send(final String attemptId) {
        send(attemptId, HttpMethod.GET);
    }

    void send(final String attemptId, final HttpMethod method) {
        mConnection.send(
                attemptId, new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, method, "/"), this);
    }

    void receive(final String text) {
        mChannel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.UTF_8));
    }

    /** Cancels the exchange with the first bytes of the body. */
    void cancelOnBody() {
        mCancelsOnBody = true;
    }

    void advanceMillis(final long millis) {
        mNowNanos += TimeUnit.MILLISECONDS.toNanos(millis);
    }

    @Override
    public long monotonicNanos() {
        return mNowNanos;
    }

    @Override
    public long wallMillis() {
        return TimeUnit.NANOSECONDS.toMillis(mNowNanos);
    }

    @Override
    public void onWritten() {}

    @Override
    public void onHeaders(final HttpResponse response, final ReplicaHeaders replicaHeaders) {}

    @Override
    public void onBody(final ByteBuf bytes) {
        if (mCancelsOnBody) {
            mConnection.cancel();
        }
    }

    @Override
    public void onEnd() {
        mEnded = true;
    }

    @Override
    public void onFailed(final String reason) {
        mFailure = reason;
    }
}
