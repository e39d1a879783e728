package io.persimmonreel.daemon.relay;

import io.persimmonreel.core.membership.SilentPeers;
import io.persimmonreel.core.peer.Incarnation;
import io.persimmonreel.core.peer.PeerMessage.StreamTransfer;
import io.persimmonreel.core.stream.StreamRouting;
import io.persimmonreel.core.time.TimeSource;
import io.persimmonreel.core.time.TimerService;
import io.persimmonreel.daemon.directory.DirectoryWatch;
import io.persimmonreel.daemon.peer.PeerTransport;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.function.LongConsumer;

/**
 * Connects the exchange of stream origins with peers and with the directory. In a mesh all peers
 * hold an origin; in a larger fleet the hub in use and the hub that the stream's key selects. All
 * methods run on the event loop.
 */
final class StreamPeers implements StreamRouting {
    /** The time for which origins are collected into one message. */
    private static final Duration FLUSH_DELAY = Duration.ofMillis(10);

    /** The number of keys by which streams are divided among hubs. */
    private static final int PARTITIONS = 64;

    private final PeerExchange mPeers;
    private final StreamTakeUps mTakeUps;
    private final DirectoryWatch mDirectory;
    private final PeerTransport mTransport;
    private final TimerService mTimers;
    private final TimeSource mTime;
    private final SilentPeers mSilentPeers;
    private boolean mIsFlushScheduled;

    StreamPeers(
            final PeerExchange peers,
            final StreamTakeUps takeUps,
            final DirectoryWatch directory,
            final PeerTransport transport,
            final TimerService timers,
            final TimeSource time) {
        mPeers = peers;
        mTakeUps = takeUps;
        mDirectory = directory;
        mTransport = transport;
        mTimers = timers;
        mTime = time;
        mSilentPeers = new SilentPeers(time.monotonicNanos());
        takeUps.use(this);
        timers.every(
                "silent-peers",
                SilentPeers.INTERVAL,
                now -> mSilentPeers.onHeard(peers.heardPeers(now).keySet(), now));
    }

    @Override
    public Collection<Incarnation> holders(final long stream) {
        if (mPeers.topology().isMesh()) {
            return new ArrayList<>(mPeers.heardPeers(mTime.monotonicNanos()).values());
        }
        return mPeers.collector("streams-" + Math.floorMod(stream, PARTITIONS))
                .map(List::of)
                .orElse(List.of());
    }

    @Override
    public boolean isForwardedFor(final Incarnation peer) {
        return mPeers.isForwardedFor(peer);
    }

    @Override
    public void send(final Incarnation peer, final StreamTransfer transfer) {
        mTransport.send(peer, transfer);
    }

    @Override
    public void confirm(final LongConsumer onConfirmed) {
        mDirectory.confirm(onConfirmed);
    }

    /**
     * Returns whether a peer fell silent lately. A leaf does not hear all daemons, so that in a
     * large fleet one may always be cut off.
     */
    @Override
    public boolean isAnyCutOff() {
        return !mPeers.topology().isMesh() || mSilentPeers.isAnyLately(mTime.monotonicNanos());
    }

    @Override
    public void requestFlush() {
        if (!mIsFlushScheduled) {
            mIsFlushScheduled = true;
            mTimers.after("streams", FLUSH_DELAY, this::flush);
        }
    }

    private void flush(final long nowNanos) {
        mIsFlushScheduled = false;
        mTakeUps.flush(nowNanos);
    }
}
