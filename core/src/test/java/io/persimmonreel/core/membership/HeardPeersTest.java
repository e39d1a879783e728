package io.persimmonreel.core.membership;

import static org.assertj.core.api.Assertions.assertThat;

import io.persimmonreel.core.peer.Incarnation;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class HeardPeersTest {
    private static final long SILENCE = 1_200;
    private static final Incarnation FIRST = new Incarnation(1);
    private static final Incarnation SECOND = new Incarnation(2);

    private final HeardPeers mPeers = new HeardPeers(SILENCE);

    @Nested
    class RecentPeers {
        /** Guards against sums over all peers for each message, whose cost grows with the fleet. */
        @Test
        void areNotSoughtAnewAfterAMessage() {
            mPeers.onHeard(FIRST, "a:1", 0);
            final Map<String, Incarnation> before = mPeers.recent(0);
            mPeers.onHeard(FIRST, "a:1", 400);
            assertThat(mPeers.recent(500)).isSameAs(before);
        }

        @Test
        void includeANewPeer() {
            mPeers.onHeard(FIRST, "a:1", 0);
            mPeers.recent(0);
            mPeers.onHeard(SECOND, "b:1", 10);
            assertThat(mPeers.recent(10)).isEqualTo(Map.of("a:1", FIRST, "b:1", SECOND));
        }

        @Test
        void endWhenAPeerFallsSilent() {
            mPeers.onHeard(FIRST, "a:1", 0);
            mPeers.onHeard(SECOND, "b:1", 100);
            assertThat(mPeers.recent(SILENCE)).containsOnlyKeys("a:1", "b:1");
            assertThat(mPeers.recent(SILENCE + 1)).containsOnlyKeys("b:1");
            assertThat(mPeers.recent(SILENCE + 101)).isEmpty();
        }

        @Test
        void returnWhenTheyAreHeardAgain() {
            mPeers.onHeard(FIRST, "a:1", 0);
            assertThat(mPeers.recent(2 * SILENCE)).isEmpty();
            mPeers.onHeard(FIRST, "a:1", 2 * SILENCE);
            assertThat(mPeers.recent(2 * SILENCE)).containsOnlyKeys("a:1");
        }

        @Test
        void nameTheNewIncarnationOfAnAddress() {
            mPeers.onHeard(FIRST, "a:1", 0);
            mPeers.recent(0);
            mPeers.forget(FIRST);
            mPeers.onHeard(SECOND, "a:1", 10);
            assertThat(mPeers.recent(10)).isEqualTo(Map.of("a:1", SECOND));
        }
    }

    @Nested
    class Collectors {
        private final HubTopology mTopology = new HubTopology("a:1", List.of("b:1"));

        @Test
        void areTheOnlyPeerOrTheDaemonItself() {
            mPeers.onHeard(FIRST, "b:1", 0);
            for (int key = 0; key < 20; key++) {
                final String name = "key" + key;
                assertThat(mPeers.collector(mTopology, name, 0))
                        .isEqualTo(mTopology.collector(name, List.of("b:1")).map(a -> FIRST));
            }
        }

        @Test
        void areNotSilentPeers() {
            mPeers.onHeard(FIRST, "b:1", 0);
            mPeers.collector(mTopology, "key", 0);
            assertThat(mPeers.collector(mTopology, "key", SILENCE + 1)).isEmpty();
        }

        @Test
        void followTheTopology() {
            mPeers.onHeard(FIRST, "b:1", 0);
            mPeers.collector(mTopology, "key", 0);
            final HubTopology other = new HubTopology("c:1", List.of("b:1"));
            assertThat(mPeers.collector(other, "key", 0))
                    .isEqualTo(other.collector("key", List.of("b:1")).map(a -> FIRST));
        }
    }
}
