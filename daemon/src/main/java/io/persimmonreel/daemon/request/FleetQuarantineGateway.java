package io.persimmonreel.daemon.request;

import io.persimmonreel.core.peer.Incarnation;
import io.persimmonreel.core.peer.PeerMessage;
import io.persimmonreel.core.peer.PeerMessage.QuarantineNotice;
import io.persimmonreel.core.quarantine.Fingerprint;
import io.persimmonreel.core.quarantine.Quarantine;
import io.persimmonreel.core.quarantine.QuarantineDecision;
import io.persimmonreel.core.quarantine.QuarantineDecision.Kind;
import io.persimmonreel.core.time.TimeSource;
import io.persimmonreel.daemon.fleet.PeerHandler;
import java.util.HexFormat;
import java.util.List;
import java.util.function.Consumer;

/** Connects the request path to the quarantine and exchanges crash evidence with all peers. */
public final class FleetQuarantineGateway implements QuarantineGateway, PeerHandler {
    private static final String SEPARATOR = "|";
    private static final int FIELD_COUNT = 3;

    private final Quarantine mQuarantine;
    private final TimeSource mTime;
    private final Consumer<PeerMessage> mBroadcast;

    /**
     * Creates a gateway.
     *
     * @param quarantine this daemon's quarantine
     * @param time the monotonic clock
     * @param broadcast sends a message to all peers
     */
    public FleetQuarantineGateway(
            final Quarantine quarantine,
            final TimeSource time,
            final Consumer<PeerMessage> broadcast) {
        mQuarantine = quarantine;
        mTime = time;
        mBroadcast = broadcast;
    }

    @Override
    public Verdict check(
            final String service,
            final byte[] body,
            final byte[] similarityContent,
            final long nowNanos) {
        final Fingerprint fingerprint = Fingerprint.of(service, body, similarityContent);
        final QuarantineDecision decision = mQuarantine.decision(fingerprint, nowNanos);
        return new Verdict(
                encode(fingerprint),
                decision.kind() == Kind.QUARANTINED,
                decision.kind() == Kind.ISOLATED,
                decision.excludedReplicas());
    }

    @Override
    public void onDispatched(final String fingerprint, final String replica) {
        if (!mQuarantine.isEmpty()) {
            mQuarantine.onDispatched(decode(fingerprint), replica);
        }
    }

    @Override
    public void onCrash(
            final String replica, final List<String> fingerprints, final long nowNanos) {
        final List<Fingerprint> contents =
                fingerprints.stream().map(FleetQuarantineGateway::decode).toList();
        broadcast(mQuarantine.onCrash(replica, contents, nowNanos));
    }

    @Override
    public void onCompleted(
            final String fingerprint,
            final String replica,
            final boolean succeeded,
            final long nowNanos) {
        if (!mQuarantine.isEmpty()) {
            broadcast(mQuarantine.onCompleted(decode(fingerprint), replica, succeeded, nowNanos));
        }
    }

    @Override
    public void onMessage(final Incarnation from, final PeerMessage message) {
        if (message instanceof QuarantineNotice notice) {
            mQuarantine.onNotice(notice, mTime.monotonicNanos());
        }
    }

    private void broadcast(final List<QuarantineNotice> notices) {
        notices.forEach(mBroadcast);
    }

    private static String encode(final Fingerprint fingerprint) {
        return HexFormat.of().toHexDigits(fingerprint.similarity())
                + SEPARATOR
                + fingerprint.digest()
                + SEPARATOR
                + fingerprint.service();
    }

    private static Fingerprint decode(final String text) {
        final String[] fields = text.split("\\|", FIELD_COUNT);
        return new Fingerprint(fields[2], fields[1], HexFormat.fromHexDigitsToLong(fields[0]));
    }
}
