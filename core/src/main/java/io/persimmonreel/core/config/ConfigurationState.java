package io.persimmonreel.core.config;

import io.persimmonreel.core.explain.DecisionLog;
import io.persimmonreel.core.time.TimeSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;

/**
 * Holds the accepted configuration of one daemon. Only higher versions are accepted, so a stale
 * configuration service or peer can't bring an older configuration back. Reads never block.
 */
public final class ConfigurationState {
    /**
     * The number of latest accepted texts that can be the base of a delta. At 19,000 changes a day,
     * one every 4.5 s, they include the text of a daemon that is 15 s behind.
     */
    static final int MAXIMUM_RECENT_TEXTS = 8;

    private static final int MAXIMUM_REJECTIONS = 16;

    /** Lists the results of offering a text. */
    public enum OfferResult {
        /** The text is the configuration in force now. */
        ACCEPTED,
        /** The text has findings; the last accepted one stays in force. */
        REJECTED,
        /** The version is not above the accepted one. */
        NOT_HIGHER
    }

    /**
     * Describes a rejected text.
     *
     * @param version the version
     * @param digest SHA-256 of the text, 64 lower-case hexadecimal digits
     * @param findings the findings, at least one
     */
    public record Rejection(long version, String digest, List<Finding> findings) {
        /** Copies the findings. */
        public Rejection {
            findings = List.copyOf(findings);
        }
    }

    /**
     * Holds an accepted text that can be the base of a delta.
     *
     * @param digest SHA-256 of the text, 64 lower-case hexadecimal digits
     * @param text the operator text
     */
    record RecentText(String digest, String text) {}

    private record Snapshot(
            Optional<Configuration> accepted,
            List<RecentText> recent,
            List<Rejection> rejections) {}

    private final AtomicReference<Snapshot> mSnapshot =
            new AtomicReference<>(new Snapshot(Optional.empty(), List.of(), List.of()));
    private final AtomicLong mHighestFence = new AtomicLong();
    private final List<ConfigurationListener> mListeners = new CopyOnWriteArrayList<>();
    private final OperatorTextParser mParser = new OperatorTextParser();
    private final Object mDeliveryLock = new Object();
    private final ConfigurationDecisions mDecisions;
    private Optional<Configuration> mDelivered = Optional.empty();

    /**
     * Creates a state without a configuration.
     *
     * @param time the clocks, used in decision records
     * @param log receives the decision records
     */
    public ConfigurationState(final TimeSource time, final DecisionLog log) {
        mDecisions = new ConfigurationDecisions(time, log);
    }

    /**
     * Adds a listener, which receives the configuration in force and later ones.
     *
     * @param listener the listener
     */
    public void subscribe(final ConfigurationListener listener) {
        synchronized (mDeliveryLock) {
            mListeners.add(listener);
            mDelivered.ifPresent(listener::onConfiguration);
        }
    }

    /**
     * Checks a text and puts it in force if it has no findings and the highest version. The
     * findings depend on the text alone.
     *
     * @param source where the text comes from, used in findings and records
     * @param version the version given by the configuration service
     * @param text the operator text
     * @return whether the text was accepted, or why not
     */
    public OfferResult offer(final String source, final long version, final String text) {
        if (version <= version()) {
            return OfferResult.NOT_HIGHER;
        }
        final String digest = Digests.sha256Hex(text);
        if (isRejected(version, digest)) {
            return OfferResult.REJECTED;
        }
        try {
            return accept(source, mParser.parse(source, version, text));
        } catch (final ConfigurationException e) {
            reject(source, new Rejection(version, digest, e.findings()));
            return OfferResult.REJECTED;
        }
    }

    private OfferResult accept(final String source, final Configuration configuration) {
        Snapshot current;
        Snapshot next;
        do {
            current = mSnapshot.get();
            if (versionOf(current) >= configuration.version()) {
                return OfferResult.NOT_HIGHER;
            }
            final List<RecentText> recent = new ArrayList<>();
            recent.add(new RecentText(configuration.digest(), configuration.text()));
            recent.addAll(current.recent());
            next =
                    new Snapshot(
                            Optional.of(configuration),
                            first(recent, MAXIMUM_RECENT_TEXTS),
                            current.rejections());
        } while (!mSnapshot.compareAndSet(current, next));
        mDecisions.record("accepted", configuration.version(), "higher version from " + source);
        deliver();
        return OfferResult.ACCEPTED;
    }

    private void reject(final String source, final Rejection rejection) {
        Snapshot current;
        Snapshot next;
        do {
            current = mSnapshot.get();
            if (isRejected(rejection.version(), rejection.digest())) {
                return;
            }
            final List<Rejection> rejections = new ArrayList<>();
            rejections.add(rejection);
            rejections.addAll(current.rejections());
            next =
                    new Snapshot(
                            current.accepted(),
                            current.recent(),
                            first(rejections, MAXIMUM_REJECTIONS));
        } while (!mSnapshot.compareAndSet(current, next));
        mDecisions.record(
                "rejected",
                rejection.version(),
                rejection.findings().size() + " findings in the text from " + source);
    }

    /**
     * Passes the configuration in force to the listeners. Two threads may accept in one order and
     * arrive here in the other, so an older version is not delivered after a newer one.
     */
    private void deliver() {
        synchronized (mDeliveryLock) {
            final Configuration configuration = accepted().orElseThrow();
            if (configuration.version() > mDelivered.map(Configuration::version).orElse(0L)) {
                mDelivered = Optional.of(configuration);
                mListeners.forEach(listener -> listener.onConfiguration(configuration));
            }
        }
    }

    private static <T> List<T> first(final List<T> values, final int count) {
        return List.copyOf(values.subList(0, Math.min(values.size(), count)));
    }

    private static long versionOf(final Snapshot snapshot) {
        return snapshot.accepted().map(Configuration::version).orElse(0L);
    }

    /**
     * Returns the configuration in force.
     *
     * @return the configuration, or empty if none was accepted yet
     */
    public Optional<Configuration> accepted() {
        return mSnapshot.get().accepted();
    }

    /**
     * Returns the version in force.
     *
     * @return the version, 0 if none was accepted yet
     */
    public long version() {
        return versionOf(mSnapshot.get());
    }

    /**
     * Returns the digest of the text in force.
     *
     * @return 64 lower-case hexadecimal digits, empty if none was accepted yet
     */
    public String digest() {
        return accepted().map(Configuration::digest).orElse("");
    }

    /**
     * Returns the last rejected texts, the most recent one first.
     *
     * @return at most 16 rejections
     */
    public List<Rejection> rejections() {
        return mSnapshot.get().rejections();
    }

    /**
     * Tells whether a text was rejected before.
     *
     * @param version the version
     * @param digest the digest of the text
     * @return true if it is among {@link #rejections}
     */
    public boolean isRejected(final long version, final String digest) {
        return rejections().stream()
                .anyMatch(r -> r.version() == version && r.digest().equals(digest));
    }

    /** Finds a recently accepted text by its digest. */
    Optional<String> recentText(final String digest) {
        return mSnapshot.get().recent().stream()
                .filter(recent -> recent.digest().equals(digest))
                .map(RecentText::text)
                .findFirst();
    }

    /**
     * Notes the fence in an engine's load report, which is a version that some daemon accepted.
     *
     * @param fence the reported fence, 0 if none
     */
    public void noteFence(final long fence) {
        mHighestFence.accumulateAndGet(fence, Math::max);
    }

    /**
     * Returns the highest fence seen if it shows that the configuration in force is stale.
     *
     * @return the fence if it is above the version in force, else empty
     */
    public OptionalLong higherFence() {
        final long fence = mHighestFence.get();
        return fence > version() ? OptionalLong.of(fence) : OptionalLong.empty();
    }
}
