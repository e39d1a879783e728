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
    private final Map<Incarnation, Letter> mLetters = new LinkedHashMap<>();

    private static final class Letter {
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
        letter(to).mClaims.add(claim);
    }

    void add(final Incarnation to, final SlotRelease release) {
        letter(to).mReleases.add(release);
    }

    void add(final Incarnation to, final SlotUse use) {
        letter(to).mUses.add(use);
    }

    void add(final Incarnation to, final SlotGrant grant) {
        letter(to).mGrants.add(grant);
    }

    /** Sends what was collected. */
    void send(final BiConsumer<Incarnation, SlotTransfer> sender) {
        final Map<Incarnation, Letter> letters = new LinkedHashMap<>(mLetters);
        mLetters.clear();
        letters.forEach((to, letter) -> sender.accept(to, letter.message()));
    }

    private Letter letter(final Incarnation to) {
        return mLetters.computeIfAbsent(to, peer -> new Letter());
    }
}
