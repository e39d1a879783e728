package io.persimmonreel.core.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class SilentPeersTest {
    private static final long SECOND = TimeUnit.SECONDS.toNanos(1);

    /** Is long before the first call. */
    private static final long CREATED = -100 * SECOND;

    private final SilentPeers mPeers = new SilentPeers(CREATED);

    /** Guards against peers that fell silent before they were ever heard. */
    @Test
    void mayBeAnyAfterTheCreation() {
        assertThat(mPeers.isAnyLately(CREATED + 20 * SECOND)).isTrue();
        assertThat(mPeers.isAnyLately(CREATED + 21 * SECOND)).isFalse();
    }

    @Test
    void areNoneBeforeAnyWasHeard() {
        mPeers.onHeard(List.of(), SECOND);
        assertThat(mPeers.isAnyLately(SECOND)).isFalse();
    }

    @Test
    void areNoneWhileAllAreHeard() {
        mPeers.onHeard(List.of("a"), SECOND);
        mPeers.onHeard(List.of("a", "b"), 2 * SECOND);
        assertThat(mPeers.isAnyLately(2 * SECOND)).isFalse();
    }

    /** Guards against connections that are opened anew and are taken for daemons cut off. */
    @Test
    void areNoneWhileConnectionsAreOpenedAnew() {
        mPeers.onHeard(List.of("a", "b"), SECOND);
        mPeers.onHeard(List.of("a"), 3 * SECOND);
        mPeers.onHeard(List.of("a", "b"), 4 * SECOND);
        assertThat(mPeers.isAnyLately(4 * SECOND)).isFalse();
    }

    @Test
    void areRememberedAfterTheSilenceEnded() {
        mPeers.onHeard(List.of("a", "b"), SECOND);
        mPeers.onHeard(List.of("a"), 4 * SECOND);
        mPeers.onHeard(List.of("a", "b"), 5 * SECOND);
        assertThat(mPeers.isAnyLately(24 * SECOND)).isTrue();
        assertThat(mPeers.isAnyLately(25 * SECOND)).isFalse();
    }
}
