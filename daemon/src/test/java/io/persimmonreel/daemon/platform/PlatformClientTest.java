package io.persimmonreel.daemon.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class PlatformClientTest {
    /** The time within which a change must be in force at all daemons. */
    private static final Duration PROPAGATION = Duration.ofSeconds(15);

    /** The time for the peers of a watching daemon to notice its version and to read the text. */
    private static final Duration EXCHANGE = Duration.ofSeconds(2);

    @Nested
    class WatchOfTheConfiguration {
        @Test
        void isNotDelayedPastThePropagationTimeByAConnectionThatBecomesSilent() {
            assertThat(PlatformClient.longestDelayOfASilentConnection().plus(EXCHANGE))
                    .isLessThanOrEqualTo(PROPAGATION);
        }
    }
}
