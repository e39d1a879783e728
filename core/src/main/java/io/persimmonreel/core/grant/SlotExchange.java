package io.persimmonreel.core.grant;

import io.persimmonreel.core.peer.Incarnation;
import io.persimmonreel.core.peer.PeerMessage;
import io.persimmonreel.core.peer.PeerMessage.SlotPlaces;
import io.persimmonreel.core.peer.PeerMessage.SlotTransfer;
import io.persimmonreel.core.peer.SlotClaim;
import io.persimmonreel.core.peer.SlotGrant;
import io.persimmonreel.core.peer.SlotPlace;
import io.persimmonreel.core.peer.SlotRelease;
import io.persimmonreel.core.peer.SlotUse;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.stream.Collectors;

/**
 * Moves claims, grants and releases of slots between this daemon, its hubs and leaves, and the
 * granters of this daemon. Not thread safe.
 *
 * @param <T> the type of the requests of this daemon
 */
public final class SlotExchange<T> {
    /** A granter without messages for this time is dropped with all that it knows. */
    private static final long GRANTER_EXPIRY_NANOS = TimeUnit.SECONDS.toNanos(10);

    private static final int MAXIMUM_ORIGINS = 4_096;

    private final String mSelf;
    private final SlotRouting mRouting;
    private final SlotListener mListener;
    private final BiConsumer<Incarnation, PeerMessage> mSender;
    private final SlotClaimant<T> mClaimant;
    private final SlotMailbox mMailbox = new SlotMailbox();
    private final Map<String, Grants> mGranters = new HashMap<>();
    private final Map<String, Incarnation> mVias = new HashMap<>();

    /** Holds the granter of an upstream. */
    private static final class Grants {
        private final SlotGranter mGranter;
        private long mHeardNanos;

        Grants(final SlotGranter granter) {
            mGranter = granter;
        }
    }

    /**
     * Creates an exchange.
     *
     * @param self the daemon's address
     * @param firstNumber the first number of a claim
     * @param routing chooses peers
     * @param listener observes claims and granters
     * @param sender sends messages to peers
     */
    public SlotExchange(
            final String self,
            final long firstNumber,
            final SlotRouting routing,
            final SlotListener listener,
            final BiConsumer<Incarnation, PeerMessage> sender) {
        mSelf = self;
        mRouting = routing;
        mListener = listener;
        mSender = sender;
        mClaimant = new SlotClaimant<>(self, firstNumber, listener);
    }

    /**
     * Returns the claims of this daemon.
     *
     * @return the claimant
     */
    public SlotClaimant<T> claimant() {
        return mClaimant;
    }

    /**
     * Applies a message of a peer; {@link #flush} sends what follows from it.
     *
     * @param from the peer
     * @param transfer the message
     * @param nowNanos the current monotonic time in nanoseconds
     */
    public void onTransfer(
            final Incarnation from, final SlotTransfer transfer, final long nowNanos) {
        transfer.claims().forEach(claim -> rememberVia(claim.origin(), from));
        final boolean isForwarded = mRouting.isForwardedFor(from);
        deliver(transfer.claims(), transfer.releases(), transfer.uses(), isForwarded, nowNanos);
        transfer.grants().forEach(grant -> deliver(grant, nowNanos));
    }

    /**
     * Applies the places of claims, or keeps them for their daemons. They are sent on with the
     * answers to the claims, which follow, so that no {@link #flush} is needed.
     *
     * @param places the message
     */
    public void onPlaces(final SlotPlaces places) {
        places.places().forEach(this::deliver);
    }

    /**
     * Records the load that a replica states.
     *
     * @param upstream the upstream's name
     * @param replica the replica's id
     * @param requests its running and waiting requests
     * @param nowNanos the current monotonic time in nanoseconds
     */
    public void onStatedLoad(
            final String upstream, final String replica, final int requests, final long nowNanos) {
        final Grants grants = mGranters.get(upstream);
        if (grants != null) {
            grants.mGranter.onStatedLoad(replica, requests, nowNanos);
        }
    }

    /**
     * Returns whether claims wait to be sent, which should happen at once.
     *
     * @return true after a new claim
     */
    public boolean hasClaims() {
        return mClaimant.hasClaims();
    }

    /**
     * Returns whether releases wait to be sent, which may happen some milliseconds later.
     *
     * @return true after a release
     */
    public boolean hasReleases() {
        return mClaimant.hasReleases();
    }

    /**
     * Grants slots and sends what is to be sent.
     *
     * @param nowNanos the current monotonic time in nanoseconds
     */
    public void flush(final long nowNanos) {
        final List<SlotClaim> claims = mClaimant.takeClaims();
        final Set<String> claimed =
                claims.stream().map(SlotClaim::upstream).collect(Collectors.toSet());
        deliver(
                claims,
                mClaimant.takeReleases(),
                mClaimant.takeUses(claimed, nowNanos),
                true,
                nowNanos);
        mGranters.entrySet().removeIf(entry -> isExpired(entry, nowNanos));
        mGranters.forEach(
                (upstream, grants) -> {
                    grants.mGranter
                            .decide(mRouting.replicas(upstream), mRouting.share(), nowNanos)
                            .forEach(grant -> deliver(grant, nowNanos));
                    grants.mGranter.takePlaces().forEach(this::deliver);
                });
        mMailbox.send(mSender);
    }

    /**
     * Returns when {@link #flush} may have something to do without another event.
     *
     * @param nowNanos the current monotonic time in nanoseconds
     * @return the monotonic time in nanoseconds, empty if no claim waits here
     */
    public Optional<Long> nextNanos(final long nowNanos) {
        return mGranters.values().stream()
                .flatMap(grants -> grants.mGranter.nextNanos(nowNanos).stream())
                .min((a, b) -> Long.signum(a - b));
    }

    /**
     * Passes on or applies what a claimant sent. What has no recipient is dropped. Releases come
     * last, since a hub may combine a statement of use with a later release.
     */
    private void deliver(
            final List<SlotClaim> claims,
            final List<SlotRelease> releases,
            final List<SlotUse> uses,
            final boolean isForwarded,
            final long nowNanos) {
        for (final SlotUse use : uses) {
            route(
                    use.upstream(),
                    isForwarded,
                    nowNanos,
                    peer -> mMailbox.add(peer, use),
                    granter -> granter.onUse(use, nowNanos));
        }
        for (final SlotClaim claim : claims) {
            route(
                    claim.upstream(),
                    isForwarded,
                    nowNanos,
                    peer -> mMailbox.add(peer, claim),
                    granter -> granter.onClaim(claim, nowNanos));
        }
        for (final SlotRelease release : releases) {
            route(
                    release.upstream(),
                    isForwarded,
                    nowNanos,
                    peer -> mMailbox.add(peer, release),
                    granter -> granter.onRelease(release, nowNanos));
        }
    }

    /** Passes something on to the peer that leads to the granter, or to the granter here. */
    private void route(
            final String upstream,
            final boolean isForwarded,
            final long nowNanos,
            final Consumer<Incarnation> forward,
            final Consumer<SlotGranter> apply) {
        final Optional<Incarnation> recipient =
                isForwarded ? mRouting.collector(upstream) : Optional.empty();
        recipient.ifPresentOrElse(forward, () -> granter(upstream, nowNanos).ifPresent(apply));
    }

    /** Returns the granter of this daemon for what has no other recipient. */
    private Optional<SlotGranter> granter(final String upstream, final long nowNanos) {
        if (!mRouting.isGranter(upstream) || mRouting.replicas(upstream).isEmpty()) {
            return Optional.empty();
        }
        final Grants grants =
                mGranters.computeIfAbsent(
                        upstream,
                        name -> {
                            mListener.onEvent(name, SlotListener.Event.GRANTER_STARTED);
                            return new Grants(new SlotGranter(name, mListener, nowNanos));
                        });
        grants.mHeardNanos = nowNanos;
        return Optional.of(grants.mGranter);
    }

    private boolean isExpired(final Map.Entry<String, Grants> entry, final long nowNanos) {
        final boolean expired =
                !mRouting.isGranter(entry.getKey())
                        || nowNanos - entry.getValue().mHeardNanos >= GRANTER_EXPIRY_NANOS;
        if (expired) {
            mListener.onEvent(entry.getKey(), SlotListener.Event.GRANTER_ENDED);
        }
        return expired;
    }

    private void rememberVia(final String origin, final Incarnation from) {
        if (mVias.size() >= MAXIMUM_ORIGINS && !mVias.containsKey(origin)) {
            mVias.clear();
        }
        mVias.put(origin, from);
    }

    private void deliver(final SlotGrant grant, final long nowNanos) {
        if (grant.origin().equals(mSelf)) {
            mClaimant.onGrant(grant, nowNanos);
            return;
        }
        next(grant.origin()).ifPresent(peer -> mMailbox.add(peer, grant));
    }

    private void deliver(final SlotPlace place) {
        if (place.origin().equals(mSelf)) {
            mClaimant.onPlace(place);
            return;
        }
        next(place.origin()).ifPresent(peer -> mMailbox.add(peer, place));
    }

    /** Returns the peer that leads to the daemon of a claim. */
    private Optional<Incarnation> next(final String origin) {
        return mRouting.peer(origin).or(() -> Optional.ofNullable(mVias.get(origin)));
    }
}
