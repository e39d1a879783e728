package io.persimmonreel.daemon.log;

import io.persimmonreel.core.peer.PeerMessage.PartState;
import io.persimmonreel.core.peer.PeerMessage.QuarantineNotice;

/** Logs what is known against the content of requests. */
public final class QuarantineLog {
    private final EventLog mLog;

    /**
     * Creates a log of the quarantine.
     *
     * @param log receives the lines
     */
    public QuarantineLog(final EventLog log) {
        mLog = log;
    }

    /**
     * Logs what is known against the content of requests.
     *
     * @param event what happened
     * @param notice what is known
     */
    public void content(final String event, final QuarantineNotice notice) {
        mLog.event("quarantine", event)
                .put("upstream", notice.service())
                .put("digest", notice.digest())
                .put("replicas", notice.replicas().size())
                .put("stopped", notice.quarantined())
                .put("age_ms", notice.ageMillis())
                .write();
    }

    /**
     * Logs a request whose content is under suspicion.
     *
     * @param event what happened
     * @param id the attempt id of the request
     * @param digest the digest of the content
     * @param replica the id of its replica, null if there is none
     */
    public void request(
            final String event, final String id, final String digest, final String replica) {
        mLog.event("quarantine", event)
                .put("id", id)
                .put("digest", digest)
                .put("replica", replica)
                .write();
    }

    /**
     * Logs a part of prompts that came under suspicion, was refused, tried or cleared.
     *
     * @param event what happened
     * @param state what is known of the part
     */
    public void promptPart(final String event, final PartState state) {
        mLog.event("quarantine", event)
                .put("upstream", state.service())
                .put("prompt_part", Long.toHexString(state.part()))
                .put("crashes", state.crashes())
                .put("age_ms", state.ageMillis())
                .put("trial_ms", state.trialMillis())
                .put("rivals", state.rivals().size())
                .write();
    }
}
