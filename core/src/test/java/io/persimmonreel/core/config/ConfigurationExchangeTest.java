package io.persimmonreel.core.config;

import static org.assertj.core.api.Assertions.assertThat;

import io.persimmonreel.core.config.ConfigurationState.OfferResult;
import io.persimmonreel.core.peer.Incarnation;
import io.persimmonreel.core.peer.PeerMessage.ConfigPart;
import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class ConfigurationExchangeTest {
    private static final int DAEMONS = 7;
    private static final Duration PROPAGATION_TARGET = Duration.ofSeconds(5);

    private final SimulatedConfigurationFleet mFleet = new SimulatedConfigurationFleet(DAEMONS, 11);

    /** Returns a text that differs by version and has about the given size. */
    private static String text(final long version, final int bytes) throws IOException {
        final String base = ExampleTexts.load("saaf-paws");
        final StringBuilder text = new StringBuilder(base + "# edit " + version + "\n");
        for (int i = 0; text.length() < bytes; i++) {
            text.append("# line ").append(i).append(" of a long text\n");
        }
        return text.toString();
    }

    private static String smallText(final long version) throws IOException {
        return text(version, 0);
    }

    @Nested
    class Propagation {
        /** Guards against a lost request or part that stops the propagation of a text of 1 MB. */
        @Test
        void reachesAllDaemonsWithinTheTargetUnderMessageLoss() throws Exception {
            mFleet.setMessageLoss(0.2);
            mFleet.state(3).offer("service", 4, text(4, 1_000_000));
            mFleet.run(PROPAGATION_TARGET);
            assertThat(mFleet.versions()).containsOnly(4L);
        }

        /** Guards against sending whole texts for one changed line. */
        @Test
        void sendsOnlyTheDifference() throws Exception {
            for (int i = 0; i < DAEMONS; i++) {
                mFleet.state(i).offer("service", 4, text(4, 900_000));
            }
            mFleet.state(0).offer("service", 5, text(5, 900_000));
            mFleet.run(PROPAGATION_TARGET);
            assertThat(mFleet.versions()).containsOnly(5L);
            assertThat(mFleet.mDeltaParts).isEqualTo(DAEMONS - 1);
            assertThat(mFleet.mPartBytes).isLessThan(1_000);
        }

        /** Guards against a damaged delta that is accepted, or requested again and again. */
        @Test
        void fallsBackToTheWholeText() throws Exception {
            mFleet.state(0).offer("service", 4, smallText(4));
            mFleet.state(1).offer("service", 4, smallText(4));
            mFleet.state(0).offer("service", 5, smallText(5));
            final String base = Digests.sha256Hex(smallText(4));
            final String digest = Digests.sha256Hex(smallText(5));
            final ConfigPart damaged = new ConfigPart(5, digest, base, 0, 1, new byte[] {0, 1, 2});
            mFleet.mNodes.get(1).mExchange.onPart(new Incarnation(0), damaged);
            assertThat(mFleet.state(1).version()).isEqualTo(4);
            mFleet.run(Duration.ofSeconds(1));
            assertThat(mFleet.state(1).version()).isEqualTo(5);
            assertThat(mFleet.mDeltaParts).as("other daemons have no base").isZero();
        }
    }

    @Nested
    class Faults {
        /** Guards against a stale configuration service that undoes an edit. */
        @Test
        void staleServiceChangesNothing() throws Exception {
            mFleet.state(0).offer("service", 9, smallText(9));
            mFleet.run(PROPAGATION_TARGET);
            for (int i = 0; i < DAEMONS; i++) {
                assertThat(mFleet.state(i).offer("service", 8, smallText(8)))
                        .isEqualTo(OfferResult.NOT_HIGHER);
            }
            mFleet.run(PROPAGATION_TARGET);
            assertThat(mFleet.versions()).containsOnly(9L);
            mFleet.mNodes.forEach(n -> assertThat(n.mApplied).containsExactly(9L));
        }

        @Test
        void partitionConvergesToTheHigherVersion() throws Exception {
            mFleet.setLinks((a, b) -> (a < 4) == (b < 4));
            mFleet.state(0).offer("service", 6, smallText(6));
            mFleet.state(6).offer("service", 5, smallText(5));
            mFleet.run(PROPAGATION_TARGET);
            assertThat(mFleet.versions()).containsExactly(6L, 6L, 6L, 6L, 5L, 5L, 5L);
            mFleet.setLinks((a, b) -> true);
            mFleet.run(PROPAGATION_TARGET);
            assertThat(mFleet.versions()).containsOnly(6L);
            mFleet.mNodes.forEach(n -> assertThat(n.mApplied).isSorted());
        }

        /**
         * Guards against a restarted daemon that keeps a stale service's version despite its peers.
         */
        @Test
        void restartedDaemonTakesTheVersionOfItsPeers() throws Exception {
            mFleet.state(0).offer("service", 9, smallText(9));
            mFleet.run(PROPAGATION_TARGET);
            mFleet.restart(2);
            assertThat(mFleet.state(2).offer("service", 3, smallText(3)))
                    .isEqualTo(OfferResult.ACCEPTED);
            mFleet.run(PROPAGATION_TARGET);
            assertThat(mFleet.versions()).containsOnly(9L);
        }

        @Test
        void allDaemonsRejectTheSameText() throws Exception {
            mFleet.state(0).offer("service", 4, smallText(4));
            mFleet.run(PROPAGATION_TARGET);
            for (int i = 0; i < DAEMONS; i++) {
                assertThat(mFleet.state(i).offer("service", 5, "format: 2\n"))
                        .isEqualTo(OfferResult.REJECTED);
                assertThat(mFleet.state(i).rejections()).hasSize(1);
                assertThat(mFleet.state(i).rejections().get(0).findings())
                        .isEqualTo(mFleet.state(0).rejections().get(0).findings());
            }
            assertThat(mFleet.versions()).containsOnly(4L);
        }

        /** Guards against a faulty peer whose invalid parts are accepted or fill the memory. */
        @Test
        void invalidPartsAreIgnored() throws Exception {
            final String digest = Digests.sha256Hex(smallText(2));
            final byte[] data = smallText(2).getBytes(java.nio.charset.StandardCharsets.UTF_8);
            final ConfigurationExchange exchange = mFleet.mNodes.get(0).mExchange;
            for (final ConfigPart part :
                    List.of(
                            new ConfigPart(2, digest, "", 0, 1_000_000, data),
                            new ConfigPart(2, digest, "", 0, 0, data),
                            new ConfigPart(2, digest, "", 1, 1, data),
                            new ConfigPart(2, digest, "", -1, 1, data),
                            new ConfigPart(2, digest, "", 0, 1, new byte[100_000]),
                            new ConfigPart(2, "0".repeat(64), "", 0, 1, data))) {
                exchange.onPart(new Incarnation(5), part);
            }
            assertThat(mFleet.state(0).version()).isZero();
            exchange.onPart(new Incarnation(5), new ConfigPart(2, digest, "", 0, 1, data));
            assertThat(mFleet.state(0).version()).as("no invalid part is kept").isEqualTo(2);
        }
    }

    @Property(seed = "7", tries = 300)
    void deltaRestoresTheText(@ForAll final long seed) {
        final Random random = new Random(seed);
        final StringBuilder base = new StringBuilder();
        final StringBuilder text = new StringBuilder();
        for (int i = random.nextInt(60); i > 0; i--) {
            final String line = "é " + random.nextInt(12) + (random.nextInt(9) == 0 ? "" : "\n");
            (random.nextBoolean() ? base : text).append(line);
            (random.nextInt(4) > 0 ? base : text).append(line);
        }
        final byte[] delta = LineDelta.encode(base.toString(), text.toString());
        assertThat(LineDelta.apply(base.toString(), delta, 100_000)).contains(text.toString());
    }
}
