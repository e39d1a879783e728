package io.persimmonreel.daemon.relay;

import static org.assertj.core.api.Assertions.assertThat;

import io.persimmonreel.core.peer.DirectoryVersion;
import io.persimmonreel.core.peer.PeerMessage.DirectoryRequest;
import io.persimmonreel.core.peer.PeerMessage.RelayDigest;
import io.persimmonreel.daemon.directory.DirectorySource;
import io.persimmonreel.daemon.directory.DirectoryTimings;
import io.persimmonreel.daemon.directory.DirectoryWatch;
import io.persimmonreel.daemon.directory.RestoreFixture;
import io.persimmonreel.daemon.time.VirtualTimers;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class DirectoryExchangeTest {
    private static final String CONFIG = RestoreFixture.CONFIGURATION;

    private final VirtualTimers mTimers = new VirtualTimers();
    private final RestoreFixture mDaemon = new RestoreFixture(mTimers);
    private final RestoreFixture mPeer = new RestoreFixture(mTimers);
    private boolean mReachable;
    private DirectoryExchange mExchange;

    @BeforeEach
    void start() {
        final DirectoryTimings timings =
                DirectoryTimings.within(Duration.ofSeconds(2), Duration.ofSeconds(3));
        final DirectoryWatch watch =
                new DirectoryWatch(
                        new UnchangedSource(),
                        mDaemon.state(),
                        mTimers,
                        mTimers,
                        timings,
                        mDaemon.log(),
                        1);
        mExchange = new DirectoryExchange(mDaemon.state(), watch);
        mDaemon.snapshot(4, 90, CONFIG, "7", "r1", "ready 4 17");
        watch.start();
        mTimers.advance(Duration.ofSeconds(3));
    }

    @AfterEach
    void close() {
        mDaemon.close();
        mPeer.close();
    }

    /** Receives the digest of the peer, and the peer's copy if one is requested. */
    private Optional<DirectoryRequest> receiveDigest() {
        mTimers.advance(Duration.ofSeconds(1));
        final RelayDigest digest =
                new RelayDigest(
                        "10.0.0.2:1",
                        false,
                        1,
                        List.of(),
                        mPeer.state().version(),
                        mPeer.state().configurationVersion(),
                        List.of());
        final Optional<DirectoryRequest> request =
                mExchange.requestFor(digest, mTimers.monotonicNanos());
        request.flatMap(mPeer.state()::copyFor).ifPresent(mExchange::onCopy);
        return request;
    }

    /** Answers with the same documents while it is reachable. */
    private final class UnchangedSource implements DirectorySource {
        @Override
        public void readAll(final Listener listener) {
            respond(listener);
        }

        @Override
        public void watch(
                final long afterRevision, final long waitMillis, final Listener listener) {
            respond(listener);
        }

        @Override
        public void readHistory(final long revision, final Listener listener) {
            listener.onFailure("no history");
        }

        @Override
        public void readVersion(final Listener listener) {
            respond(listener);
        }

        private void respond(final Listener listener) {
            if (mReachable) {
                listener.onDocuments(
                        new DirectoryVersion(4, 90),
                        RestoreFixture.documents(CONFIG, "7", "r1", "ready 4 17"));
            } else {
                listener.onFailure("unreachable");
            }
        }
    }

    @Nested
    class WithoutADirectory {
        @Test
        void takesAHigherEraFromAPeer() {
            mPeer.snapshot(5, 10, CONFIG, "7", "r1", "ready 5 17", "r2", "ready 1 18");
            assertThat(receiveDigest()).isPresent();
            assertThat(mDaemon.state().version()).isEqualTo(new DirectoryVersion(5, 10));
            assertThat(mDaemon.replicas()).containsExactly("r1+", "r2+");
        }

        /** The revision and the configuration of a peer of the old era may be higher. */
        @Test
        void doesNotAskAPeerOfAnOlderEra() {
            mPeer.snapshot(3, 500, CONFIG, "9", "r1", "draining 5 17");
            assertThat(receiveDigest()).isEmpty();
            assertThat(mDaemon.state().version()).isEqualTo(new DirectoryVersion(4, 90));
        }

        @Test
        void takesAHigherRevisionOfTheSameEra() {
            mPeer.snapshot(4, 91, "r1", "draining 5 17");
            assertThat(receiveDigest()).isPresent();
            assertThat(mDaemon.replicas()).containsExactly("r1-");
        }
    }

    @Nested
    class WithADirectory {
        @BeforeEach
        void makeReachable() {
            mReachable = true;
            mPeer.snapshot(3, 500, CONFIG, "8");
            mTimers.advance(Duration.ofSeconds(3));
        }

        /** The directory lost version 8, which the peer has in force from before the restore. */
        @Test
        void takesAConfigurationThatTheRestoreLost() {
            mPeer.snapshot(4, 90, CONFIG, "7");
            assertThat(receiveDigest()).isPresent();
            assertThat(mDaemon.state().configurationVersion()).isEqualTo(8);
            assertThat(mDaemon.replicas()).containsExactly("r1+");
            assertThat(receiveDigest()).isEmpty();
        }
    }
}
