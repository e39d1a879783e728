package io.persimmonreel.cli;

import io.persimmonreel.fakes.FakeServer;
import io.persimmonreel.fakes.FakeUpstreams;
import io.persimmonreel.fakes.Fault;
import io.persimmonreel.fakes.Fault.Kind;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;

/** Injects faults into the fake upstreams, each second of another kind and in other replicas. */
final class DemoFaultInjector {
    private static final List<Kind> ENGINE_FAULTS =
            List.of(
                    Kind.BREAK_STREAM,
                    Kind.FOREIGN_TOKEN,
                    Kind.DUPLICATE_TOKEN,
                    Kind.NO_END,
                    Kind.FAIL_FAST);
    private static final List<Kind> PLAIN_FAULTS =
            List.of(
                    Kind.BREAK_AFTER_READ,
                    Kind.TRUNCATE,
                    Kind.CROSSED_ID,
                    Kind.FAIL_FAST,
                    Kind.LATE_ANSWER);
    private static final int FAULT_AFTER_TOKENS = 5;
    private static final long LATE_ANSWER_MILLIS = 500;
    private static final int FAULT_REPETITIONS = 2;

    private final List<FakeServer> mEngines;
    private final List<FakeServer> mPlainServices;

    DemoFaultInjector(final FakeUpstreams upstreams) {
        mEngines = new ArrayList<>(upstreams.engines().values());
        mPlainServices = new ArrayList<>(upstreams.plainServices().values());
    }

    /** Injects the faults of one second. */
    void inject(final int second, final PrintStream out) {
        final Kind engineFault = ENGINE_FAULTS.get(second % ENGINE_FAULTS.size());
        final Kind plainFault = PLAIN_FAULTS.get(second % PLAIN_FAULTS.size());
        inject(mEngines.get(second % mEngines.size()), engineFault);
        inject(mPlainServices.get(second % mPlainServices.size()), plainFault);
        out.println("demo: faults " + engineFault + " and " + plainFault);
    }

    private static void inject(final FakeServer server, final Kind kind) {
        server.faults()
                .add(
                        Fault.of(kind)
                                .withAfter(FAULT_AFTER_TOKENS)
                                .withMillis(LATE_ANSWER_MILLIS)
                                .withTimes(FAULT_REPETITIONS));
    }
}
