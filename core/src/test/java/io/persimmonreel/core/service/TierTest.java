package io.persimmonreel.core.service;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class TierTest {
    @Nested
    class LowerOf {
        /** Guards against a caller that raises the tier of its requests. */
        @Test
        void returnsTheLowerTier() {
            assertThat(Tier.URGENT.lowerOf(Tier.BULK)).isEqualTo(Tier.BULK);
            assertThat(Tier.BULK.lowerOf(Tier.URGENT)).isEqualTo(Tier.BULK);
        }
    }

    @Nested
    class OfLabel {
        @Test
        void findsTiersByLabelOnly() {
            for (final Tier tier : Tier.values()) {
                assertThat(Tier.ofLabel(tier.label())).contains(tier);
            }
            assertThat(Tier.ofLabel("first")).isEmpty();
            assertThat(Tier.ofLabel(null)).isEmpty();
        }
    }
}
