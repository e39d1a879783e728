package io.persimmonreel.core.peer;

import com.dynatrace.hash4j.hashing.Hasher64;
import com.dynatrace.hash4j.hashing.Hashing;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Assigns members to a subject by rendezvous hashing. Daemons that know the same members pick the
 * same ones, and a member that joins or leaves changes the result only for subjects assigned to it.
 */
public final class RendezvousHash {
    private static final Hasher64 HASHER = Hashing.komihash5_0();

    private RendezvousHash() {}

    /**
     * Picks one member.
     *
     * @param subject the name of the task that the member is picked for
     * @param members the members to pick from
     * @return the member with the highest score, or empty if there are no members
     */
    public static Optional<Incarnation> pick(
            final String subject, final Collection<Incarnation> members) {
        return members.stream().max(byScore(subject));
    }

    /**
     * Picks several members.
     *
     * @param subject the name of the task that the members are picked for
     * @param members the members to pick from
     * @param count the maximum number of members to pick
     * @return the members with the highest scores, the highest first
     */
    public static List<Incarnation> pick(
            final String subject, final Collection<Incarnation> members, final int count) {
        return members.stream().sorted(byScore(subject).reversed()).limit(count).toList();
    }

    private static Comparator<Incarnation> byScore(final String subject) {
        final long subjectHash = HASHER.hashCharsToLong(subject);
        return Comparator.<Incarnation>comparingLong(
                        member -> HASHER.hashLongLongToLong(subjectHash, member.id()))
                .thenComparing(Comparator.naturalOrder());
    }
}
