package io.persimmonreel.proof;

import io.persimmonreel.core.config.ExampleTexts;
import io.persimmonreel.core.request.RequestIdentity;
import io.persimmonreel.experiment.virtual.EventQueue;
import io.persimmonreel.experiment.virtual.VirtualFleet;
import io.persimmonreel.experiment.virtual.VirtualRequest;
import io.persimmonreel.experiment.virtual.VirtualRequest.Ending;
import io.persimmonreel.experiment.virtual.VirtualRequest.Plan;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.UUID;

/** Contains the state of one scenario: a fleet in virtual time, idempotency keys and requests. */
final class VirtualWorld {
    private static final long SEED = 20_261_204L;

    /** Longer than the uptime needed for claims, the clock skew and the time to hear all peers. */
    private static final Duration WARM_UP = Duration.ofSeconds(30);

    private static final Duration SERVICE_TIME = Duration.ofMillis(50);
    private static final Duration DEADLINE = Duration.ofSeconds(10);

    private final VirtualFleet mFleet = new VirtualFleet(SEED);
    private final Map<String, String> mKeysByLabel = new HashMap<>();
    private final Map<String, List<VirtualRequest>> mRequestsByLabel = new HashMap<>();
    private final String mExampleText;
    private int mDaemonCount;

    VirtualWorld() throws IOException {
        mExampleText = ExampleTexts.load("saaf-paws");
    }

    VirtualFleet fleet() {
        return mFleet;
    }

    int daemonCount() {
        return mDaemonCount;
    }

    void start(final int daemons) {
        mDaemonCount = daemons;
        mFleet.platform().publish(1, operatorText(1));
        for (int slot = 1; slot <= daemons; slot++) {
            mFleet.start(slot);
        }
        mFleet.runFor(WARM_UP);
    }

    /** Returns the operator text of a version; texts of different versions differ. */
    String operatorText(final long version) {
        return mExampleText.replace("maximumDaemons: 7", "maximumDaemons: " + mDaemonCount)
                + "# edit "
                + version
                + "\n";
    }

    /** Returns an operator text with another model version for the engines. */
    String operatorText(final long version, final String modelVersion) {
        return operatorText(version)
                .replace("modelVersion: \"3\"", "modelVersion: \"" + modelVersion + "\"");
    }

    void setKey(final String label, final String key) {
        mKeysByLabel.put(label, key);
    }

    /** Returns the key of a label; a new key is a UUID of version 7 with the current time. */
    String key(final String label) {
        return mKeysByLabel.computeIfAbsent(label, l -> timedKey(Duration.ZERO));
    }

    /** Returns a new key, a UUID of version 7, with a time ahead of the current time. */
    String timedKey(final Duration ahead) {
        final long millis = EventQueue.EPOCH_MILLIS + now().plus(ahead).toMillis();
        return new UUID(millis << 16 | 0x7000L, Long.MIN_VALUE | mKeysByLabel.size() + 1)
                .toString();
    }

    private Duration now() {
        return Duration.ofNanos(mFleet.queue().nowNanos());
    }

    void charge(final String label, final int slot, final Ending ending, final Duration queueTime) {
        charge(label, slot, "charge " + label, ending, queueTime);
    }

    void charge(
            final String label,
            final int slot,
            final String content,
            final Ending ending,
            final Duration queueTime) {
        final RequestIdentity identity = new RequestIdentity("kiosks-lahore", "charge", key(label));
        final Plan plan = new Plan(identity, content, ending, queueTime, SERVICE_TIME, DEADLINE);
        mRequestsByLabel
                .computeIfAbsent(label, l -> new ArrayList<>())
                .add(mFleet.send(slot, plan));
    }

    VirtualRequest request(final String label, final int number) {
        return mRequestsByLabel.get(label).get(number - 1);
    }

    int countRuns(final String label) {
        return mFleet.countRuns(key(label));
    }
}
