package io.persimmonreel.daemon.directory;

import io.persimmonreel.core.peer.DirectoryVersion;
import io.persimmonreel.core.peer.PeerMessage.DirectoryCopy;
import io.persimmonreel.core.replica.ReplicaEntry;
import io.persimmonreel.core.request.Step;
import io.persimmonreel.core.route.RelayConfiguration;
import io.persimmonreel.daemon.directory.DirectorySource.Document;
import io.persimmonreel.daemon.log.EventLog;
import io.persimmonreel.daemon.time.VirtualTimers;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Holds the state of one daemon and records what it reports. The entry of a replica is the text
 * {@code PHASE SEQ BORN}; without a SEQ it is {@code PHASE}. A configuration is {@code VERSION} or
 * {@code VERSION TEXT}.
 */
public final class RestoreFixture implements AutoCloseable {
    /** The name of the configuration. */
    public static final String CONFIGURATION = "config";

    final VirtualTimers mTimers;
    final EventLog mLog;
    final DirectoryState mState;
    final List<String> mEvents = new ArrayList<>();
    final List<Long> mVersions = new ArrayList<>();
    private TreeSet<String> mReplicas = new TreeSet<>();

    /** Creates a daemon without documents. */
    public RestoreFixture(final VirtualTimers timers) {
        mTimers = timers;
        mLog = new EventLog("test", timers, new PrintStream(OutputStream.nullOutputStream()));
        mState = new DirectoryState(new TextFormat(), new Recorder(), mLog);
        mState.countTo(mEvents::add);
    }

    /** Returns the state of the daemon. */
    public DirectoryState state() {
        return mState;
    }

    /** Returns the replicas as id and {@code +}, or {@code -} if they drain. */
    public TreeSet<String> replicas() {
        return mReplicas;
    }

    /** Returns the log of the daemon. */
    public EventLog log() {
        return mLog;
    }

    /** Applies a snapshot; documents are pairs of name and content. */
    public void snapshot(final long era, final long revision, final String... documents) {
        mState.applySnapshot(
                new DirectoryVersion(era, revision),
                documents(documents),
                false,
                mTimers.monotonicNanos());
    }

    /** Applies changes; documents are pairs of name and content, null if removed. */
    public void change(final long era, final long revision, final String... documents) {
        mState.applyChanges(new DirectoryVersion(era, revision), documents(documents));
    }

    /** Applies a copy that another daemon makes for this one. */
    void copyFrom(final RestoreFixture other) {
        final Optional<DirectoryCopy> copy = other.mState.copyFor(mState.request());
        copy.ifPresent(c -> mState.applyCopy(c, mTimers.monotonicNanos()));
    }

    /** Moves the time and checks for absent replicas. */
    void advance(final long millis) {
        mTimers.advance(Duration.ofMillis(millis));
        mState.removeAbsentReplicas(mTimers.monotonicNanos());
    }

    @Override
    public void close() {
        mLog.close();
    }

    /** Returns documents from pairs of name and content, null if removed. */
    public static List<Document> documents(final String... pairs) {
        final List<Document> documents = new ArrayList<>();
        for (int i = 0; i < pairs.length; i += 2) {
            documents.add(
                    new Document(
                            pairs[i],
                            Optional.ofNullable(pairs[i + 1])
                                    .map(text -> text.getBytes(StandardCharsets.UTF_8))));
        }
        return documents;
    }

    static List<Document> documents(final TreeMap<String, String> texts) {
        final List<Document> documents = new ArrayList<>();
        texts.forEach((name, text) -> documents.addAll(documents(name, text)));
        return documents;
    }

    /** Decodes the texts. */
    private static final class TextFormat extends TestFormat {
        @Override
        public RelayConfiguration readConfiguration(final String name, final byte[] content) {
            return configuration(Long.parseLong(words(content)[0]));
        }

        @Override
        public ReplicaEntry readReplica(final String name, final byte[] content)
                throws DirectoryException {
            final String[] words = words(content);
            if (words[0].equals("?")) {
                throw new DirectoryException(Step.CONFIGURE, name, "expected in this test", null);
            }
            final long born = words.length > 2 ? Long.parseLong(words[2]) : 0;
            return new ReplicaEntry(
                    name, "app", "10.0.0.1", 80, "z", 4, words[0].equals("draining"), born);
        }

        @Override
        public OptionalLong writeNumber(final String name, final byte[] content) {
            final String[] words = words(content);
            return words.length > 1
                    ? OptionalLong.of(Long.parseLong(words[1]))
                    : OptionalLong.empty();
        }

        private static String[] words(final byte[] content) {
            return new String(content, StandardCharsets.UTF_8).split(" ");
        }
    }

    /** Records what the state reports. */
    private final class Recorder implements DirectoryListener {
        @Override
        public void onConfiguration(final RelayConfiguration configuration) {
            mVersions.add(configuration.version());
        }

        @Override
        public void onReplicas(final Collection<ReplicaEntry> entries) {
            mReplicas = new TreeSet<>();
            entries.forEach(e -> mReplicas.add(e.id() + (e.draining() ? "-" : "+")));
        }
    }
}
