package io.persimmonreel.core.quota;

import io.persimmonreel.core.peer.Incarnation;
import io.persimmonreel.core.peer.PeerMessage.UnitClaim;
import io.persimmonreel.core.peer.PeerMessage.UnitGrant;
import io.persimmonreel.core.peer.PeerMessage.UnitShortage;
import io.persimmonreel.core.peer.PeerMessage.UnitTransfer;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;

/**
 * Moves units of quotas between daemons: unused ones to the daemon that collects those of a
 * customer, and from there to the daemons that need them.
 *
 * <p>Units that are sent leave the sender at once, so a lost message loses units and never
 * duplicates them. The receiver counts their remaining life from its last message that the sender
 * had received, so a delay only shortens it. Not thread safe.
 */
public final class UnitExchange {
    /** The most customers whose unused units are sent in one message. */
    private static final int MAXIMUM_CUSTOMERS = 64;

    private static final long NANOS_PER_MILLI = TimeUnit.MILLISECONDS.toNanos(1);

    private final FleetQuota mQuota;
    private final FleetShare mShare;
    private final UnitRouting mRouting;
    private final BiConsumer<Incarnation, UnitTransfer> mSender;
    private final TransferObserver mObserver;
    private final Map<Incarnation, Link> mLinks = new HashMap<>();
    private long mLastClaimNumber;
    private long mEarliestEchoNanos = Long.MIN_VALUE / 2;
    private int mNextCustomer;
    private final QuotaSupplier mSupplier =
            new QuotaSupplier() {
                @Override
                public long request(
                        final String customer, final long units, final QuotaClaim.Kind kind) {
                    return UnitExchange.this.request(customer, units, kind);
                }

                @Override
                public boolean hasCollector(final String customer) {
                    return collector(customer).isPresent();
                }
            };

    /** Observes the units that move between daemons. */
    public interface TransferObserver {
        /**
         * Handles units that were sent to a peer.
         *
         * @param customer the customer's name
         * @param units the units
         */
        void onGiven(String customer, long units);

        /**
         * Handles units that a peer sent.
         *
         * @param customer the customer's name
         * @param units the units
         */
        void onReceived(String customer, long units);
    }

    /** Holds what is known of a connected peer, and what is to be sent to it. */
    private static final class Link {
        private final List<UnitClaim> mClaims = new ArrayList<>();
        private final List<UnitGrant> mGrants = new ArrayList<>();
        private final List<UnitShortage> mShortages = new ArrayList<>();
        private boolean mHasHeard;
        private long mPeerSentNanos;

        boolean isEmpty() {
            return mClaims.isEmpty() && mGrants.isEmpty() && mShortages.isEmpty();
        }
    }

    /**
     * Creates an exchange, and supplies the quotas with units of peers.
     *
     * @param quota the quotas
     * @param share the share of this daemon
     * @param routing chooses peers
     * @param sender sends messages to peers
     * @param observer observes units
     */
    public UnitExchange(
            final FleetQuota quota,
            final FleetShare share,
            final UnitRouting routing,
            final BiConsumer<Incarnation, UnitTransfer> sender,
            final TransferObserver observer) {
        mQuota = quota;
        mShare = share;
        mRouting = routing;
        mSender = sender;
        mObserver = observer;
        quota.setSupplier(mSupplier);
    }

    /**
     * Begins to exchange units with a peer.
     *
     * @param peer the peer
     */
    public void onConnected(final Incarnation peer) {
        mLinks.put(peer, new Link());
    }

    /**
     * Ends the exchange with a peer. What was to be sent is lost; claims at the peer run into their
     * time limit.
     *
     * @param peer the peer
     */
    public void onDisconnected(final Incarnation peer) {
        mLinks.remove(peer);
    }

    /**
     * Drops all units, since the host was suspended and their ages are wrong. Units that peers send
     * are accepted again once they answer a later message.
     *
     * @param nowNanos the current monotonic time in nanoseconds
     */
    public void onSuspended(final long nowNanos) {
        mEarliestEchoNanos = nowNanos;
        mQuota.clear(nowNanos);
    }

    /**
     * Applies a message of a peer.
     *
     * @param from the peer
     * @param transfer the message
     * @param nowNanos the current monotonic time in nanoseconds
     */
    public void onTransfer(
            final Incarnation from, final UnitTransfer transfer, final long nowNanos) {
        final Link link = mLinks.get(from);
        if (link == null) {
            return;
        }
        link.mHasHeard = true;
        link.mPeerSentNanos = transfer.sentNanos();
        mShare.onPeerState(
                transfer.standing(),
                transfer.fleetSize(),
                transfer.counted(),
                transfer.seeds(),
                nowNanos);
        if (transfer.hasEcho()
                && transfer.echoNanos() - nowNanos <= 0
                && transfer.echoNanos() - mEarliestEchoNanos >= 0) {
            for (final UnitGrant grant : transfer.grants()) {
                final List<UnitLot> lots = UnitLots.ofGrant(grant, transfer.echoNanos());
                mObserver.onReceived(grant.customer(), UnitLots.sum(lots));
                mQuota.onUnits(grant.customer(), lots, !mRouting.isForwardedFor(from), nowNanos);
            }
        }
        for (final UnitShortage shortage : transfer.shortages()) {
            mQuota.onShortage(
                    shortage.customer(), shortage.number(), shortage.waitMillis(), nowNanos);
        }
        for (final UnitClaim claim : transfer.claims()) {
            mQuota.claim(
                    claim.customer(),
                    new QuotaClaim(
                            claim.units(),
                            new QuotaClaim.Kind(
                                    claim.patient(), claim.lifeMillis() * NANOS_PER_MILLI),
                            new PeerClaimListener(from, claim)),
                    mRouting.isForwardedFor(from) ? mSupplier : QuotaSupplier.NONE,
                    nowNanos);
        }
    }

    /**
     * Sends unused units to the daemons that collect them, and a sign of life to the other peers,
     * from which they count the life of the units that they send.
     *
     * @param nowNanos the current monotonic time in nanoseconds
     */
    public void onInterval(final long nowNanos) {
        for (final CustomerQuota quota : nextToGive(nowNanos)) {
            final Link link = collector(quota.name()).map(mLinks::get).orElse(null);
            if (link != null && link.mHasHeard) {
                give(link, quota.name(), quota.takeSurplus(nowNanos), nowNanos);
            }
        }
        for (final Incarnation peer : mRouting.partners()) {
            final Link link = mLinks.get(peer);
            if (link != null) {
                send(peer, link, nowNanos);
            }
        }
        flush(nowNanos);
    }

    /**
     * Sends what is to be sent to peers.
     *
     * @param nowNanos the current monotonic time in nanoseconds
     */
    public void flush(final long nowNanos) {
        mLinks.forEach(
                (peer, link) -> {
                    if (!link.isEmpty()) {
                        send(peer, link, nowNanos);
                    }
                });
    }

    /**
     * Returns the customers whose units are sent now: those in a shortage first, whose units can't
     * be used here, and the others in turn.
     */
    private List<CustomerQuota> nextToGive(final long nowNanos) {
        final List<CustomerQuota> quotas = new ArrayList<>(mQuota.limited());
        if (quotas.isEmpty()) {
            return quotas;
        }
        Collections.rotate(quotas, -(mNextCustomer % quotas.size()));
        quotas.sort(Comparator.comparing(quota -> !quota.isPooled(nowNanos)));
        final int count = Math.min(MAXIMUM_CUSTOMERS, quotas.size());
        final List<CustomerQuota> next = quotas.subList(0, count);
        // Units that are not sent on in time would expire.
        quotas.subList(count, quotas.size()).forEach(quota -> quota.endPooling(nowNanos));
        final int others = (int) next.stream().filter(quota -> !quota.isPooled(nowNanos)).count();
        mNextCustomer = (mNextCustomer + (others == 0 ? next.size() : others)) % quotas.size();
        return next;
    }

    private Optional<Incarnation> collector(final String customer) {
        return mRouting.collector(customer).filter(mLinks::containsKey);
    }

    private long request(final String customer, final long units, final QuotaClaim.Kind kind) {
        final Optional<Incarnation> collector = collector(customer);
        if (collector.isEmpty()) {
            return 0;
        }
        mLastClaimNumber++;
        mLinks.get(collector.get())
                .mClaims
                .add(
                        new UnitClaim(
                                mLastClaimNumber,
                                customer,
                                units,
                                kind.isPatient(),
                                (int) (kind.minimumLifeNanos() / NANOS_PER_MILLI)));
        return mLastClaimNumber;
    }

    private void give(
            final Link link, final String customer, final List<UnitLot> lots, final long nowNanos) {
        if (!lots.isEmpty()) {
            link.mGrants.add(UnitLots.toGrant(customer, lots, nowNanos));
            mObserver.onGiven(customer, UnitLots.sum(lots));
        }
    }

    private void send(final Incarnation peer, final Link link, final long nowNanos) {
        mSender.accept(
                peer,
                new UnitTransfer(
                        nowNanos,
                        link.mHasHeard,
                        link.mPeerSentNanos,
                        mShare.standing(),
                        mShare.knownSize(),
                        mShare.counts(mRouting.nameOf(peer)),
                        mShare.heardSeeds(mRouting.isForwardedFor(peer), nowNanos),
                        List.copyOf(link.mClaims),
                        List.copyOf(link.mGrants),
                        List.copyOf(link.mShortages)));
        link.mClaims.clear();
        link.mGrants.clear();
        link.mShortages.clear();
    }

    /** Sends the outcome of a peer's claim. */
    private final class PeerClaimListener implements QuotaClaim.Listener {
        private final Incarnation mPeer;
        private final UnitClaim mClaim;

        PeerClaimListener(final Incarnation peer, final UnitClaim claim) {
            mPeer = peer;
            mClaim = claim;
        }

        @Override
        public void onGranted(final QuotaPermit permit, final long nowNanos) {
            final Link link = mLinks.get(mPeer);
            if (link == null) {
                mQuota.release(permit, nowNanos);
                return;
            }
            give(link, mClaim.customer(), permit.lots(), nowNanos);
        }

        @Override
        public void onRefused(final ClaimRefusal refusal) {
            final Link link = mLinks.get(mPeer);
            if (link != null) {
                link.mShortages.add(
                        new UnitShortage(
                                mClaim.number(), mClaim.customer(), refusal.retryMillis()));
            }
        }
    }
}
