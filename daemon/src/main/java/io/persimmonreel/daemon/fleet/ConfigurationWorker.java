package io.persimmonreel.daemon.fleet;

import io.persimmonreel.core.config.ConfigurationExchange;
import io.persimmonreel.core.config.ConfigurationState;
import io.persimmonreel.core.peer.Incarnation;
import io.persimmonreel.core.peer.PeerMessage.ConfigPart;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.ArrayDeque;
import java.util.Objects;
import java.util.Optional;
import java.util.Queue;

/**
 * Validates configurations on its own thread, because a text of 1 MB takes up to a second and
 * heartbeats must continue meanwhile. Listeners of the accepted configuration run on this thread
 * too.
 *
 * <p>Of the waiting texts, only the one with the newest version is kept. Parts are handled in order
 * of arrival. Instances are thread safe.
 */
public final class ConfigurationWorker implements AutoCloseable {
    /** Enough for two texts of the maximum size; the exchange requests dropped parts again. */
    static final int MAXIMUM_WAITING_PARTS = 34;

    private static final Logger LOG = System.getLogger(ConfigurationWorker.class.getName());
    private static final long CLOSE_TIMEOUT_MILLIS = 2_000;

    private final ConfigurationState mState;
    private final ConfigurationExchange mExchange;
    private final Queue<ReceivedPart> mWaitingParts = new ArrayDeque<>();
    private final Thread mThread;
    private OfferedText mWaitingText;
    private boolean mClosed;
    private volatile long mNewestOfferedVersion;

    private record OfferedText(String source, long version, String text) {}

    private record ReceivedPart(Incarnation from, ConfigPart part) {}

    /**
     * Starts the thread.
     *
     * @param state receives texts of the configuration service
     * @param exchange receives parts sent by peers
     */
    public ConfigurationWorker(
            final ConfigurationState state, final ConfigurationExchange exchange) {
        mState = Objects.requireNonNull(state, "state");
        mExchange = Objects.requireNonNull(exchange, "exchange");
        mThread = new Thread(this::run, "persimmonreel-configuration");
        mThread.setDaemon(true);
        mThread.start();
    }

    /**
     * Queues a text of the configuration service, unless one of this or a newer version was
     * offered.
     *
     * @param source the name of the source of the text
     * @param version the version
     * @param text the operator configuration text
     */
    public synchronized void offerText(final String source, final long version, final String text) {
        if (!mClosed && version > mNewestOfferedVersion) {
            mNewestOfferedVersion = version;
            mWaitingText = new OfferedText(source, version, text);
            notifyAll();
        }
    }

    /**
     * Queues a part of a text that a peer sent. If the queue is full, parts of older versions are
     * dropped.
     *
     * @param from the peer that sent the part
     * @param part the part
     * @return false if the queue is full of parts of this or newer versions
     */
    public synchronized boolean offerPart(final Incarnation from, final ConfigPart part) {
        if (mWaitingParts.size() >= MAXIMUM_WAITING_PARTS) {
            mWaitingParts.removeIf(waiting -> waiting.part().version() < part.version());
        }
        if (mClosed || mWaitingParts.size() >= MAXIMUM_WAITING_PARTS) {
            return false;
        }
        mWaitingParts.add(new ReceivedPart(from, part));
        notifyAll();
        return true;
    }

    /**
     * Returns the newest version offered by the configuration service, so that a watch does not
     * deliver a text again while it is being validated.
     *
     * @return the version, 0 if none
     */
    public long newestOfferedVersion() {
        return mNewestOfferedVersion;
    }

    @Override
    public void close() {
        synchronized (this) {
            mClosed = true;
            notifyAll();
        }
        try {
            if (Thread.currentThread() != mThread) {
                mThread.join(CLOSE_TIMEOUT_MILLIS);
            }
        } catch (final InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void run() {
        try {
            Optional<Runnable> next = nextTask();
            while (next.isPresent()) {
                runTask(next.get());
                next = nextTask();
            }
        } catch (final InterruptedException e) {
            LOG.log(Level.WARNING, "config: The configuration thread was interrupted.");
        }
    }

    private void runTask(final Runnable task) {
        try {
            task.run();
        } catch (final RuntimeException e) {
            // A failure in a listener must not stop the handling of later versions.
            LOG.log(Level.ERROR, "config: Handling a configuration failed.", e);
        }
    }

    private synchronized Optional<Runnable> nextTask() throws InterruptedException {
        while (!mClosed && mWaitingText == null && mWaitingParts.isEmpty()) {
            wait();
        }
        if (mClosed) {
            return Optional.empty();
        }
        if (mWaitingText != null) {
            final OfferedText text = mWaitingText;
            mWaitingText = null;
            return Optional.of(() -> mState.offer(text.source(), text.version(), text.text()));
        }
        final ReceivedPart part = mWaitingParts.remove();
        return Optional.of(() -> mExchange.onPart(part.from(), part.part()));
    }
}
