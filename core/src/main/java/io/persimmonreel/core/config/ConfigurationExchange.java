package io.persimmonreel.core.config;

import io.persimmonreel.core.explain.DecisionLog;
import io.persimmonreel.core.peer.Incarnation;
import io.persimmonreel.core.peer.PeerMessage.ConfigPart;
import io.persimmonreel.core.peer.PeerMessage.ConfigRequest;
import io.persimmonreel.core.peer.PeerSender;
import io.persimmonreel.core.time.TimeSource;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;

/**
 * Exchanges accepted operator texts between daemons.
 *
 * <p>A daemon that receives a heartbeat with a higher configuration version requests the text from
 * the sender. The answer is the text or, if smaller, its difference from the requester's text. The
 * requester compares the result with its digest and offers it to {@link ConfigurationState}, which
 * checks it like a text from the configuration service.
 */
public final class ConfigurationExchange {
    /**
     * A request that brought no new part for this long is abandoned, and the next heartbeat starts
     * another one. Two requests can be lost and a change still takes effect within its 5 s.
     */
    static final long REQUEST_TIMEOUT_NANOS = 1_000_000_000L;

    private final ConfigurationState mState;
    private final PeerSender mSender;
    private final TimeSource mTime;
    private final ConfigurationDecisions mDecisions;
    private final AtomicReference<Answer> mLastAnswer = new AtomicReference<>();
    private final Object mLock = new Object();
    private long mRequestedVersion;
    private long mVersionUnderCheck;
    private long mLastProgressNanos;
    private boolean mRequestWholeText;
    private PartAssembly mAssembly;
    private String mConflictDigest = "";

    /**
     * Holds the answer to a request. The last one is kept, because many daemons request the same
     * text at the same time.
     *
     * @param digest the digest of the text
     * @param haveDigest the digest of the requester's text
     * @param parts the parts of the answer
     */
    private record Answer(String digest, String haveDigest, List<ConfigPart> parts) {}

    /**
     * Creates an exchange.
     *
     * @param state the configuration of this daemon
     * @param sender sends messages to peers
     * @param time the clocks
     * @param log receives the decision records
     */
    public ConfigurationExchange(
            final ConfigurationState state,
            final PeerSender sender,
            final TimeSource time,
            final DecisionLog log) {
        mState = state;
        mSender = sender;
        mTime = time;
        mDecisions = new ConfigurationDecisions(time, log);
    }

    /**
     * Handles the configuration version in a heartbeat; if it is higher, requests the text.
     *
     * @param from the sender of the heartbeat
     * @param version the sender's accepted version, 0 if none
     * @param digest the digest of the sender's accepted text
     */
    public void onHeartbeat(final Incarnation from, final long version, final String digest) {
        final long own = mState.version();
        if (version > 0 && version == own && !digest.equals(mState.digest())) {
            reportConflict(from, version, digest);
        }
        if (version <= own || mState.isRejected(version, digest)) {
            return;
        }
        final ConfigRequest request;
        synchronized (mLock) {
            final boolean requested =
                    mRequestedVersion >= version && !isRequestOverdue(mTime.monotonicNanos());
            // The check of a received text may take longer than the timeout of a request.
            if (requested || mVersionUnderCheck >= version) {
                return;
            }
            mRequestedVersion = version;
            mLastProgressNanos = mTime.monotonicNanos();
            request = new ConfigRequest(own, mRequestWholeText ? "" : mState.digest());
        }
        mSender.send(from, request);
    }

    private boolean isRequestOverdue(final long nowNanos) {
        return nowNanos - mLastProgressNanos >= REQUEST_TIMEOUT_NANOS;
    }

    /** Records two texts of one version, which are a fault of the configuration service. */
    private void reportConflict(final Incarnation from, final long version, final String digest) {
        synchronized (mLock) {
            if (digest.equals(mConflictDigest)) {
                return;
            }
            mConflictDigest = digest;
        }
        mDecisions.record(
                "conflict", version, "peer " + from + " has another text of this version");
    }

    /**
     * Answers a request with the accepted text, if its version is above the requester's.
     *
     * @param from the requester
     * @param request the request
     */
    public void onRequest(final Incarnation from, final ConfigRequest request) {
        final Optional<Configuration> accepted = mState.accepted();
        if (accepted.isEmpty() || accepted.get().version() <= request.haveVersion()) {
            return;
        }
        final Configuration configuration = accepted.get();
        Answer answer = mLastAnswer.get();
        if (answer == null
                || !answer.digest().equals(configuration.digest())
                || answer.parts().get(0).version() != configuration.version()
                || !answer.haveDigest().equals(request.haveDigest())) {
            answer =
                    new Answer(
                            configuration.digest(),
                            request.haveDigest(),
                            parts(configuration, request.haveDigest()));
            mLastAnswer.set(answer);
        }
        answer.parts().forEach(part -> mSender.send(from, part));
    }

    private List<ConfigPart> parts(final Configuration configuration, final String haveDigest) {
        final byte[] whole = configuration.text().getBytes(StandardCharsets.UTF_8);
        final Optional<byte[]> delta =
                mState.recentText(haveDigest)
                        .map(base -> LineDelta.encode(base, configuration.text()))
                        .filter(bytes -> bytes.length < whole.length);
        return PartAssembly.split(
                configuration.version(),
                configuration.digest(),
                delta.isPresent() ? haveDigest : "",
                delta.orElse(whole));
    }

    /**
     * Handles one part of a text. With the last missing part, the text is offered to the state.
     *
     * @param from the sender
     * @param part the part
     */
    public void onPart(final Incarnation from, final ConfigPart part) {
        if (!PartAssembly.isWellFormed(part) || part.version() <= mState.version()) {
            return;
        }
        final Optional<String> text;
        synchronized (mLock) {
            final Optional<byte[]> bytes = addPart(part);
            if (bytes.isEmpty()) {
                return;
            }
            text = decode(bytes.get(), part);
            // Another delta would not help if the base differs or a part is damaged.
            mRequestWholeText = text.isEmpty();
            mAssembly = null;
            mRequestedVersion = 0;
            mVersionUnderCheck = text.isEmpty() ? 0 : part.version();
        }
        if (text.isEmpty()) {
            mDecisions.record(
                    "discarded", part.version(), "parts from peer " + from + " miss the digest");
            return;
        }
        try {
            mState.offer("peer " + from, part.version(), text.get());
        } finally {
            synchronized (mLock) {
                mVersionUnderCheck = 0;
            }
        }
    }

    /** Adds a part and returns all bytes if it was the last missing one. */
    private Optional<byte[]> addPart(final ConfigPart part) {
        final long now = mTime.monotonicNanos();
        if (mAssembly == null || !mAssembly.accepts(part)) {
            final boolean replace =
                    mAssembly == null
                            || part.version() > mAssembly.version()
                            || isRequestOverdue(now);
            if (!replace) {
                return Optional.empty();
            }
            mAssembly = new PartAssembly(part);
        }
        if (mAssembly.add(part)) {
            mLastProgressNanos = now;
        }
        return mAssembly.joined();
    }

    /** Restores the text, or returns empty if it does not match its digest. */
    private Optional<String> decode(final byte[] bytes, final ConfigPart part) {
        final Optional<String> text =
                part.baseDigest().isEmpty()
                        ? Optional.of(new String(bytes, StandardCharsets.UTF_8))
                        : mState.recentText(part.baseDigest())
                                .flatMap(
                                        base ->
                                                LineDelta.apply(
                                                        base,
                                                        bytes,
                                                        ConfigurationLimits.MAXIMUM_TEXT_BYTES));
        return text.filter(t -> Digests.sha256Hex(t).equals(part.digest()));
    }
}
