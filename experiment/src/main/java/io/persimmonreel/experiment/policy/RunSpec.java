package io.persimmonreel.experiment.policy;

import java.util.List;

/**
 * Describes one run of the experiment: how much load is offered and what goes wrong.
 *
 * @param name the run's name
 * @param load the offered load as a multiple of the capacity
 * @param fault the fault, which starts after a third of the measured time
 */
record RunSpec(String name, double load, Fault fault) {
    /** A fault of the system, or a disturbance by the callers. */
    enum Fault {
        NONE,
        /** All customers send three times their requests for a tenth of the measured time. */
        BURST,
        /** One engine runs at a third of its speed. */
        SLOW_ENGINE,
        /** Load reports arrive 5 s late, from the start of the measured time. */
        STALE_REPORTS,
        /** One daemon is lost; the host list confirms the loss 30 s later. */
        LOST_DAEMON,
        /** One engine crashes and restarts after 20 s. */
        CRASHED_ENGINE,
        /** A network partition splits the daemons 4:3 for the rest of the run. */
        PARTITION,
        /**
         * The smallest customer sends twenty times its requests for a third of the measured time.
         */
        FLOOD
    }

    static final RunSpec LOAD_1_0 = new RunSpec("load-1.0", 1.0, Fault.NONE);
    static final RunSpec LOAD_1_3 = new RunSpec("load-1.3", 1.3, Fault.NONE);
    static final RunSpec LOAD_2_0 = new RunSpec("load-2.0", 2.0, Fault.NONE);
    static final RunSpec CRASH = new RunSpec("engine-crashed", 0.8, Fault.CRASHED_ENGINE);

    static List<RunSpec> all(final boolean quick) {
        if (quick) {
            return List.of(LOAD_1_0, LOAD_1_3, LOAD_2_0, CRASH);
        }
        return List.of(
                new RunSpec("load-0.7", 0.7, Fault.NONE),
                LOAD_1_0,
                LOAD_1_3,
                LOAD_2_0,
                new RunSpec("burst", 0.8, Fault.BURST),
                new RunSpec("engine-slow", 0.8, Fault.SLOW_ENGINE),
                new RunSpec("reports-5s-late", 1.0, Fault.STALE_REPORTS),
                new RunSpec("daemon-lost", 0.8, Fault.LOST_DAEMON),
                CRASH,
                new RunSpec("partition-4-3", 1.0, Fault.PARTITION),
                new RunSpec("customer-flood", 0.8, Fault.FLOOD));
    }
}
