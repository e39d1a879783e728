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
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;

/** Collects what goes to each peer, so that it is sent in one message. Not thread safe. */
final class SlotMailbox {
    private static final SlotTransfer NOTHING =
            new SlotTransfer(List.of(), List.of(), List.of(), List.of());

    private final Map<Incarnation, Batch> mBatches = new LinkedHashMap<>();

    private static final class Batch {
        private final List<SlotClaim> mClaims = new ArrayList<>();
        private final List<SlotRelease> mReleases = new ArrayList<>();
        private final List<SlotUse> mUses = new ArrayList<>();
        private final List<SlotGrant> mGrants = new ArrayList<>();
        private final List<SlotPlace> mPlaces = new ArrayList<>();

        /** Returns the messages; places come first, so that they are known with the answer. */
        List<PeerMessage> messages() {
            final List<PeerMessage> messages = new ArrayList<>();
            if (!mPlaces.isEmpty()) {
                messages.add(new SlotPlaces(List.copyOf(mPlaces)));
            }
            final SlotTransfer transfer =
                    new SlotTransfer(
                            List.copyOf(mClaims),
                            List.copyOf(mReleases),
                            List.copyOf(mUses),
                            List.copyOf(mGrants));
            if (!transfer.equals(NOTHING)) {
                messages.add(transfer);
            }
            return messages;
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

    void add(final Incarnation to, final SlotPlace place) {
        batch(to).mPlaces.add(place);
    }

    /** Sends what was collected. */
    void send(final BiConsumer<Incarnation, PeerMessage> sender) {
        final Map<Incarnation, Batch> batches = new LinkedHashMap<>(mBatches);
        mBatches.clear();
        batches.forEach(
                (to, batch) -> batch.messages().forEach(message -> sender.accept(to, message)));
    }

    private Batch batch(final Incarnation to) {
        return mBatches.computeIfAbsent(to, peer -> new Batch());
    }
}
