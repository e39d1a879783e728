package io.persimmonreel.core.grant;

import io.persimmonreel.core.peer.Incarnation;
import io.persimmonreel.core.peer.PeerMessage.SlotTransfer;
import io.persimmonreel.core.peer.SlotClaim;
import io.persimmonreel.core.peer.SlotGrant;
import io.persimmonreel.core.peer.SlotRelease;
import io.persimmonreel.core.peer.SlotUse;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;

/** Collects what goes to each peer, so that it is sent in one message. Not thread safe. */
final class SlotMailbox {
    private final Map<Incarnation, Batch> mBatches = new LinkedHashMap<>();

    private static final class Batch {
        private final List<SlotClaim> mClaims = new ArrayList<>();
        private final List<SlotRelease> mReleases = new ArrayList<>();
        private final List<SlotUse> mUses = new ArrayList<>();
        private final List<SlotGrant> mGrants = new ArrayList<>();

        SlotTransfer message() {
            return new SlotTransfer(
                    List.copyOf(mClaims),
                    List.copyOf(mReleases),
                    List.copyOf(mUses),
                    List.copyOf(mGrants));
        }
    }

    void add(final Incarnation to, final SlotClaim claim) {
        batch(to).mClaims.add(claim);
    }

    void add(final Incarnation to, final SlotRelease release) {
        batch(to).mReleases.add(release);
    }

    void add(final Incarnation to, final SlotUse use) {
        batch(to).mUses.add(use);
    }

    void add(final Incarnation to, final SlotGrant grant) {
        batch(to).mGrants.add(grant);
    }

    /** Sends what was collected. */
    void send(final BiConsumer<Incarnation, SlotTransfer> sender) {
        final Map<Incarnation, Batch> batches = new LinkedHashMap<>(mBatches);
        mBatches.clear();
        batches.forEach((to, batch) -> sender.accept(to, batch.message()));
    }

    private Batch batch(final Incarnation to) {
        return mBatches.computeIfAbsent(to, peer -> new Batch());
    }
}
