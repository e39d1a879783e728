package io.persimmonreel.daemon.relay;

import java.util.Collection;

/** Takes requests back from replicas whose availability zone is evacuated. */
final class EvacuationWithdrawal {
    private EvacuationWithdrawal() {}

    /**
     * Places the requests anew that wait for a connection to a replica of an evacuated zone. They
     * were not written, so they keep their attempts and their part of the retry budget.
     *
     * @param service the service of the calls
     * @param calls the calls in progress
     */
    static void withdrawUnwritten(final RelayService service, final Collection<RelayCall> calls) {
        for (final RelayCall call : calls) {
            if (call.phase() == RelayCall.Phase.CONNECTING
                    && service.replicas().isEvacuated(call.replica().entry())) {
                service.runFor(call, "evacuation", () -> withdraw(service, call));
            }
        }
    }

    private static void withdraw(final RelayService service, final RelayCall call) {
        call.abandonReplica();
        service.resend(
                call, "evacuated", "zone " + call.replica().entry().zone() + " is evacuated");
    }
}
