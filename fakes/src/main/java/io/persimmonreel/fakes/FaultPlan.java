package io.persimmonreel.fakes;

import io.persimmonreel.fakes.Fault.Kind;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;

/** Holds the faults that a fake injects. Instances are thread-safe. */
public final class FaultPlan {
    private final List<Fault> mFaults = new ArrayList<>();

    /**
     * Adds a fault; {@link Kind#CLEAR} removes all faults instead.
     *
     * @param fault the fault
     */
    public synchronized void add(final Fault fault) {
        if (fault.kind() == Kind.CLEAR) {
            mFaults.clear();
        } else {
            mFaults.add(fault);
        }
    }

    /**
     * Removes all faults of a kind.
     *
     * @param kind the kind of fault
     */
    public synchronized void remove(final Kind kind) {
        mFaults.removeIf(fault -> fault.kind() == kind);
    }

    /**
     * Returns the oldest fault of a kind and counts one injection of it. The fault is removed after
     * its last injection, see {@link Fault#times}.
     *
     * @param kind the kind of fault
     * @return the fault to inject now, or empty if there is none
     */
    public Optional<Fault> consume(final Kind kind) {
        return consume(fault -> fault.kind() == kind);
    }

    /**
     * Returns the crash that a prompt or body triggers and counts one injection of it.
     *
     * @param content the prompt or body
     * @return the fault of kind {@link Kind#CRASH_ON}, or empty if the content triggers none
     */
    public Optional<Fault> consumeCrashOn(final String content) {
        return consume(fault -> fault.kind() == Kind.CRASH_ON && content.contains(fault.text()));
    }

    /**
     * Returns the newest fault of a kind without counting an injection, for faults that last until
     * they are cleared.
     *
     * @param kind the kind of fault
     * @return the newest fault of this kind, or empty if there is none
     */
    public synchronized Optional<Fault> active(final Kind kind) {
        return mFaults.stream()
                .filter(fault -> fault.kind() == kind)
                .reduce((older, newer) -> newer);
    }

    private synchronized Optional<Fault> consume(final Predicate<Fault> condition) {
        for (int i = 0; i < mFaults.size(); i++) {
            final Fault fault = mFaults.get(i);
            if (condition.test(fault)) {
                if (fault.times() == 1) {
                    mFaults.remove(i);
                } else if (fault.times() > 1) {
                    mFaults.set(i, fault.withTimes(fault.times() - 1));
                }
                return Optional.of(fault);
            }
        }
        return Optional.empty();
    }
}
