package io.persimmonreel.daemon.relay;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class RelayRandomTest {
    /** The seeds as {@code first-last}. */
    private static final String SEEDS = System.getProperty("relay.seeds", "1-200");

    /** The time after which requests of all routes end. */
    private static final long TIMEOUT_MILLIS = 3_000;

    private static final int EVENTS = Integer.getInteger("relay.events", 120);

    /** Guards against events in an order that no other test has. */
    @Nested
    class AnyOrderOfEvents {
        @Test
        void givesEachRequestItsOwnResponseAtMostOnce() {
            final String[] range = SEEDS.split("-");
            final long last = Long.parseLong(range[range.length - 1]);
            for (long seed = Long.parseLong(range[0]); seed <= last; seed++) {
                VirtualRelayEvents.playAndShrink(seed, EVENTS);
            }
        }
    }

    /** Guards against passes that run inside each other. */
    @Nested
    class WaitingRequests {
        @Test
        void doNotDeepenTheStack() {
            assertThat(depth(400)).isLessThanOrEqualTo(depth(20));
        }

        private int depth(final int requests) {
            final VirtualRelay relay = new VirtualRelay();
            relay.advance(1);
            relay.service().onConfiguration(RelayFixture.configuration(1, 2, 0));
            for (int i = 0; i < requests; i++) {
                final VirtualCaller caller = relay.newCaller();
                caller.add(relay.newRequest(VirtualRequest.Kind.CHARGE), new SplittableRandom(1));
                while (caller.hasParts()) {
                    caller.sendPart();
                }
            }
            relay.settle();
            assertThat(relay.service().waiting()).isEqualTo(requests);
            relay.advance(TIMEOUT_MILLIS);
            assertThat(relay.callers()).allMatch(caller -> caller.unanswered() == 0);
            relay.onReplicas(List.of());
            return relay.faults().maximumDepth();
        }
    }
}
