package io.persimmonreel.core.peer;

import io.persimmonreel.core.explain.DecisionRecord;
import io.persimmonreel.core.request.Outcome;
import io.persimmonreel.core.request.RequestIdentity;
import io.persimmonreel.core.service.Tier;
import java.util.List;

/** Represents a message between two daemons. */
public sealed interface PeerMessage {
    /** Lists the states of a claim in the memory of a member. */
    enum ClaimPhase {
        /** Granted to a holder that has not reported an end. */
        CLAIMED,
        /** Free to be granted again. */
        RELEASED,
        /** Dispatched and ended; never granted again. */
        FINISHED
    }

    /** Lists the replies of a member to a claim request. */
    enum ClaimVerdict {
        /** The sender's attempt holds the claim at this member. */
        GRANTED,
        /** Another attempt holds the claim, or its request has finished. */
        HELD,
        /** The identity was claimed with another request body. */
        MISMATCH,
        /** The member can't confirm that the identity was not claimed before. */
        NO_VOUCH,
        /** The member has no room for another claim. */
        FULL,
        /** The idempotency key is too old. */
        EXPIRED
    }

    /**
     * Reports that a daemon is alive, with its configuration version and its load.
     *
     * @param sequence the number of the heartbeat, from 1
     * @param slot the daemon's slot
     * @param zone the daemon's availability zone
     * @param leaving whether the daemon takes no new work
     * @param wallMillis the sender's wall clock
     * @param configVersion the accepted configuration version, 0 if none
     * @param configDigest the digest of the accepted configuration text, empty if none
     * @param load the sender's load, one element for each upstream
     * @param floors the shedding thresholds that the sender itself has raised
     */
    record Heartbeat(
            long sequence,
            int slot,
            String zone,
            boolean leaving,
            long wallMillis,
            long configVersion,
            String configDigest,
            List<PeerLoad> load,
            List<ShedNotice> floors)
            implements PeerMessage {}

    /**
     * Reports a daemon's work at one upstream.
     *
     * @param upstream the upstream's id
     * @param demand the smoothed mean number of running and waiting requests
     * @param replicas the replicas' ids, in the order of {@code inFlight} and {@code prefillTokens}
     * @param inFlight the number of requests in flight at each replica
     * @param prefillTokens the prompt tokens of the requests at each replica that still wait for
     *     their first token
     */
    record PeerLoad(
            String upstream,
            double demand,
            List<String> replicas,
            List<Integer> inFlight,
            List<Integer> prefillTokens) {}

    /**
     * Asks a member to grant a claim on a request identity.
     *
     * @param attempt the number of the sender's attempt, unique in its incarnation
     * @param identity the request identity
     * @param contentDigest SHA-256 of the request's body
     */
    record ClaimRequest(long attempt, RequestIdentity identity, String contentDigest)
            implements PeerMessage {}

    /**
     * Replies to a claim request.
     *
     * @param attempt the number of the attempt in the request
     * @param verdict the member's decision
     * @param holder the incarnation that holds the claim, 0 if none
     * @param phase the phase of the held claim
     * @param status the HTTP status of a finished claim, 0 if its outcome is unknown, else 0
     * @param notRunMillis the time since an earlier holder reported the request as not run, -1 if
     *     no holder did so in the last second
     * @param reason the reason for the verdict, may be empty
     */
    record ClaimReply(
            long attempt,
            ClaimVerdict verdict,
            long holder,
            ClaimPhase phase,
            int status,
            long notRunMillis,
            String reason)
            implements PeerMessage {}

    /**
     * Releases what a member granted to an attempt that ended without a claim.
     *
     * @param attempt the number of the sender's attempt
     * @param identity the request identity
     */
    record ClaimRelease(long attempt, RequestIdentity identity) implements PeerMessage {}

    /**
     * Asks the holder of a claim whether and how its attempt ended.
     *
     * @param attempt the number of the holder's attempt
     * @param identity the request identity
     */
    record ClaimQuery(long attempt, RequestIdentity identity) implements PeerMessage {}

    /**
     * Reports the outcome of a claimed request to the members that were asked for the claim. A
     * holder reports a request as not run only after it renounced the claim, and before it tells
     * its caller.
     *
     * @param attempt the number of the sender's attempt
     * @param identity the request identity
     * @param outcome what is known about the execution
     * @param status the HTTP status that the caller received if the request ran, else 0
     */
    record OutcomeNotice(long attempt, RequestIdentity identity, Outcome outcome, int status)
            implements PeerMessage {}

    /**
     * Asks the holder of a finished claim for the stored answer to the request.
     *
     * @param call the number that the reply repeats, unique in the sender's incarnation
     * @param identity the request identity
     * @param contentDigest SHA-256 of the request's body
     */
    record AnswerRequest(long call, RequestIdentity identity, String contentDigest)
            implements PeerMessage {}

    /**
     * Returns the stored answer to a finished request.
     *
     * @param call the number in the request for the answer
     * @param known whether the sender still stores the answer
     * @param status the HTTP status of the answer
     * @param contentType the media type of the answer
     * @param body the body of the answer
     */
    record AnswerReply(long call, boolean known, int status, String contentType, byte[] body)
            implements PeerMessage {}

    /**
     * Asks for a configuration newer than the sender's.
     *
     * @param haveVersion the version that the sender has, 0 if none
     * @param haveDigest the digest of the text that the sender has, empty to ask for a whole text
     */
    record ConfigRequest(long haveVersion, String haveDigest) implements PeerMessage {}

    /**
     * Transfers one part of a configuration.
     *
     * @param version the configuration's version
     * @param digest the digest of the whole text
     * @param baseDigest the digest of the text that the delta applies to, empty for a whole text
     * @param index the part's number, from 0
     * @param count the number of parts
     * @param data the part's bytes
     */
    record ConfigPart(
            long version, String digest, String baseDigest, int index, int count, byte[] data)
            implements PeerMessage {}

    /**
     * Shares evidence that a request content crashes replicas.
     *
     * @param service the service's id
     * @param digest SHA-256 of service and body
     * @param similarity the 64-bit similarity hash of the content
     * @param replicas the replicas that crashed while they ran such a request
     * @param quarantined whether requests with this content are rejected
     * @param cleared whether the content is no longer suspected
     * @param ageMillis the age of the evidence in milliseconds
     */
    record QuarantineNotice(
            String service,
            String digest,
            long similarity,
            List<String> replicas,
            boolean quarantined,
            boolean cleared,
            long ageMillis)
            implements PeerMessage {}

    /**
     * Reports that a tier lacks capacity at an upstream, so that requests of lower tiers must wait
     * there. The sender raises the shedding threshold of the upstream to that tier.
     *
     * @param upstream the upstream's id
     * @param tier the highest tier that lacks capacity
     * @param ageMillis the age of the notice in milliseconds
     */
    record ShedNotice(String upstream, Tier tier, long ageMillis) implements PeerMessage {}

    /**
     * Asks for the decision records of a request.
     *
     * @param call the number that the reply repeats
     * @param requestId the request's id
     */
    record ExplainRequest(long call, String requestId) implements PeerMessage {}

    /**
     * Returns the decision records of a request.
     *
     * @param call the number in the request for the records
     * @param records the records in order of time
     */
    record ExplainReply(long call, List<DecisionRecord> records) implements PeerMessage {}

    /**
     * Passes on the states of members, for daemons that receive no heartbeats from them.
     *
     * @param members the states of members as the sender knows them
     */
    record MemberGossip(List<MemberNews> members) implements PeerMessage {}

    /**
     * Describes the state of one member as of its heartbeat number {@code sequence}.
     *
     * @param incarnation the member's incarnation
     * @param slot the member's slot
     * @param zone the member's availability zone
     * @param sequence the number of the last heartbeat known to the sender
     * @param state the state of the member in the view of the sender
     */
    record MemberNews(long incarnation, int slot, String zone, long sequence, NewsState state) {}

    /** Lists the states of a member in gossip. */
    enum NewsState {
        ALIVE,
        LEAVING,
        SUSPECT,
        DEAD
    }

    /** Reports that the sender is leaving the fleet and takes no new work. */
    record Leaving() implements PeerMessage {}

    /**
     * Reports the work at replicas of one relay, or the sums for a group of relays.
     *
     * @param address the address at which the sender accepts connections of peers
     * @param leaving whether the sender takes no new work
     * @param daemons the number of daemons that the digest covers, 0 if it only shows that the
     *     sender is alive
     * @param members the addresses of relays that the sender knows, may be empty
     * @param directory the version of the documents of the directory that the sender holds
     * @param configVersion the version of the configuration in force at the sender, 0 if none
     * @param replicas the work at each replica with work or a known speed
     */
    record RelayDigest(
            String address,
            boolean leaving,
            int daemons,
            List<String> members,
            DirectoryVersion directory,
            long configVersion,
            List<ReplicaWork> replicas)
            implements PeerMessage {}

    /**
     * Reports the work of one relay or a group of relays at one replica.
     *
     * @param replica the replica's id
     * @param inFlight the number of requests in flight at the replica
     * @param prefillTokens the prompt tokens of the requests that still wait for their first event
     * @param tokenMicros the measured time for one token in microseconds, 0 if unknown
     */
    record ReplicaWork(String replica, int inFlight, int prefillTokens, int tokenMicros) {}

    /**
     * Moves units of customers' quotas to a peer, and claims units from it.
     *
     * <p>A message without units shows that the sender is alive and has a current time for the peer
     * to refer to.
     *
     * @param sentNanos the sender's monotonic time in nanoseconds, of its process only
     * @param hasEcho whether the sender has received a message of the peer
     * @param echoNanos the time in the last message of the peer, from which it counts the life of
     *     the units in this one
     * @param standing what the sender knows of the fleet
     * @param fleetSize the number of daemons that the sender counts
     * @param counted whether all daemons that the sender hears from count the peer
     * @param seeds the seeds that the sender hears from
     * @param claims the units that the sender needs
     * @param grants the units that the sender gives away
     * @param shortages the claims of the peer that are refused
     */
    record UnitTransfer(
            long sentNanos,
            boolean hasEcho,
            long echoNanos,
            Standing standing,
            int fleetSize,
            boolean counted,
            List<String> seeds,
            List<UnitClaim> claims,
            List<UnitGrant> grants,
            List<UnitShortage> shortages)
            implements PeerMessage {}

    /** Lists what a daemon knows of the fleet, in increasing order. */
    enum Standing {
        /** The daemon has just started. */
        UNKNOWN,
        /** The daemon found others, but none that knew the fleet before. */
        PROVISIONAL,
        /** The daemon is counted by the others. */
        MEMBER
    }

    /**
     * Claims units of a customer's quota.
     *
     * @param number the number of the claim, from 1
     * @param customer the customer's name
     * @param units the units, all or none of which are needed
     * @param patient whether the claim waits however many are before it
     * @param lifeMillis the time for which the units must be usable, in milliseconds
     */
    record UnitClaim(long number, String customer, long units, boolean patient, int lifeMillis) {}

    /**
     * Gives units of a customer's quota that expire at several times, each the same time before or
     * after the one before it.
     *
     * @param customer the customer's name
     * @param lifeMillis the time until the first element expires, in milliseconds
     * @param stepMillis the time from the expiry of an element to that of the next one, in
     *     milliseconds; may be negative
     * @param units the units of each element, 0 for times at which none expire
     */
    record UnitGrant(String customer, int lifeMillis, int stepMillis, List<Long> units) {
        /** The most elements that a receiver accepts. */
        public static final int MAXIMUM_ELEMENTS = 256;
    }

    /**
     * Refuses a claim.
     *
     * @param number the number of the claim
     * @param customer the customer's name
     * @param waitMillis the estimated time until the units are available, in milliseconds
     */
    record UnitShortage(long number, String customer, long waitMillis) {}

    /**
     * Lists the daemons that all daemons which the sender hears from count as members.
     *
     * @param members the addresses of the daemons
     */
    record FleetMembers(List<String> members) implements PeerMessage {}

    /**
     * Reports what is known against parts of prompts that are suspected of crashing replicas.
     *
     * @param parts the states of the parts
     */
    record PartNotice(List<PartState> parts) implements PeerMessage {}

    /**
     * Describes the crashes since the last response to a request with one part of a prompt.
     *
     * @param service the service's id
     * @param part the hash of the part's id
     * @param crashes the number of crashes, 0 if a response has begun since
     * @param ageMillis the time since the last crash or, without crashes, since the response, in
     *     milliseconds
     * @param trialMillis the time for which a request that tries the part may still run, in
     *     milliseconds, 0 if there is none
     * @param rivals the hashes of the ids of the parts that may be the cause instead
     */
    record PartState(
            String service,
            long part,
            int crashes,
            long ageMillis,
            long trialMillis,
            List<Long> rivals) {}

    /**
     * Reports the rate limits that replicas advertise.
     *
     * @param limits the limits as the sender knows them
     */
    record RateLimitNotice(List<RateLimitState> limits) implements PeerMessage {}

    /**
     * Lists the daemons that a hub knows, for a leaf that hears only of some.
     *
     * @param members their addresses, the hub's included
     */
    record MemberNames(List<String> members) implements PeerMessage {}

    /**
     * Reports replicas that crashed and are cold when they are back.
     *
     * @param crashes the crashes as the sender knows them
     */
    record ReplicaCrashNotice(List<ReplicaCrash> crashes) implements PeerMessage {}

    /**
     * Asks a peer for the documents of the directory.
     *
     * @param have the version of the documents that the sender holds
     * @param haveConfigVersion the version of the configuration in force at the sender, 0 if none
     * @param haveConfigEra the newest era in which the directory had that configuration
     */
    record DirectoryRequest(DirectoryVersion have, long haveConfigVersion, long haveConfigEra)
            implements PeerMessage {}

    /**
     * Transfers the documents of the directory exactly as its source returned them.
     *
     * @param version the version that the documents reflect
     * @param configEra the newest era in which the directory had the configuration in {@code names}
     * @param names the names of the documents
     * @param contents the contents of the documents, in the order of {@code names}
     * @param unconfirmed the names of replica entries that count as draining, since the directory
     *     restored them from a time before their last known change
     */
    record DirectoryCopy(
            DirectoryVersion version,
            long configEra,
            List<String> names,
            List<byte[]> contents,
            List<String> unconfirmed)
            implements PeerMessage {}

    /**
     * Claims, grants and releases slots of upstreams whose slots are granted by one daemon.
     *
     * @param claims the claims
     * @param releases the slots that are returned, and the claims that are cancelled
     * @param uses the slots in use at the upstreams of {@code claims}
     * @param grants the answers to claims
     */
    record SlotTransfer(
            List<SlotClaim> claims,
            List<SlotRelease> releases,
            List<SlotUse> uses,
            List<SlotGrant> grants)
            implements PeerMessage {}

    /**
     * States the places of claims that wait; sent beside their answers.
     *
     * @param places the places
     */
    record SlotPlaces(List<SlotPlace> places) implements PeerMessage {}

    /**
     * Reports where streams began, and asks for it.
     *
     * @param origins the software versions at which streams began
     * @param questions the streams whose version the sender does not know
     */
    record StreamTransfer(List<StreamOrigin> origins, List<StreamQuestion> questions)
            implements PeerMessage {}
}
