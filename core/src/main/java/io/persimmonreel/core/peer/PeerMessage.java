package io.persimmonreel.core.peer;

import io.persimmonreel.core.explain.DecisionRecord;
import io.persimmonreel.core.request.Outcome;
import io.persimmonreel.core.request.RequestIdentity;
import io.persimmonreel.core.service.Tier;
import java.util.List;
import java.util.Map;

/** A message between two daemons. */
public sealed interface PeerMessage {
    /** States of a claim at a member. */
    enum ClaimPhase {
        CLAIMED,
        RELEASED,
        FINISHED
    }

    /** Answers of a member to a claim request. */
    enum ClaimVerdict {
        GRANTED,
        HELD,
        MISMATCH,
        NO_VOUCH,
        FULL,
        EXPIRED
    }

    /**
     * Reports that a daemon is alive, with its view of configuration and load.
     *
     * @param sequence the number of the heartbeat, from 1
     * @param slot the daemon's slot
     * @param zone the daemon's availability zone
     * @param leaving whether the daemon takes no new work
     * @param wallMillis the sender's wall clock
     * @param configVersion the accepted version, 0 if none
     * @param configDigest the digest of the accepted text, empty if none
     * @param load the sender's load by upstream
     * @param floors shed floors that the sender raised itself
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
     * @param demand running and waiting requests, a smoothed mean
     * @param replicas the replicas' ids, parallel to {@code inFlight} and {@code prefillTokens}
     * @param inFlight requests in flight at each replica
     * @param prefillTokens prompt tokens sent to each replica and not yet answered by a token
     */
    record PeerLoad(
            String upstream,
            double demand,
            List<String> replicas,
            List<Integer> inFlight,
            List<Integer> prefillTokens) {}

    /**
     * Asks a member to record a claim on a request identity.
     *
     * @param attempt the sender's number of this attempt, unique in its incarnation
     * @param identity the request identity
     * @param contentDigest SHA-256 of the body
     */
    record ClaimRequest(long attempt, RequestIdentity identity, String contentDigest)
            implements PeerMessage {}

    /**
     * Answers a claim request.
     *
     * @param attempt the attempt of the request
     * @param verdict the member's verdict
     * @param holder the incarnation that holds the claim, 0 if none
     * @param phase the phase of the held claim
     * @param status the HTTP status of a finished claim, 0 if its outcome is unknown, else 0
     * @param notRunMillis milliseconds since an earlier holder reported the identity as not run, -1
     *     if it did not within the last second
     * @param reason why the verdict was given, may be empty
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
     * Gives up an attempt that did not obtain its claim.
     *
     * @param attempt the attempt that was given up
     * @param identity the request identity
     */
    record ClaimRelease(long attempt, RequestIdentity identity) implements PeerMessage {}

    /**
     * Asks a holder whether it renounced an attempt.
     *
     * @param attempt the holder's attempt
     * @param identity the request identity
     */
    record ClaimQuery(long attempt, RequestIdentity identity) implements PeerMessage {}

    /**
     * Reports the outcome of a claimed request to the members that granted it. Not run means that
     * the holder renounced the claim before it told its caller.
     *
     * @param attempt the attempt
     * @param identity the request identity
     * @param outcome what is known about the execution
     * @param status the HTTP status that the caller was given
     */
    record OutcomeNotice(long attempt, RequestIdentity identity, Outcome outcome, int status)
            implements PeerMessage {}

    /**
     * Asks the holder for the answer of a finished request.
     *
     * @param call the number of the call, unique in the sender's incarnation
     * @param identity the request identity
     * @param contentDigest SHA-256 of the body
     */
    record AnswerRequest(long call, RequestIdentity identity, String contentDigest)
            implements PeerMessage {}

    /**
     * Returns the answer of a finished request.
     *
     * @param call the number of the call
     * @param known whether the answer is known
     * @param status the HTTP status
     * @param contentType the media type
     * @param body the body
     */
    record AnswerReply(long call, boolean known, int status, String contentType, byte[] body)
            implements PeerMessage {}

    /**
     * Asks for a newer configuration.
     *
     * @param haveVersion the version that the sender has, 0 if none
     * @param haveDigest the digest of the text that the sender has
     */
    record ConfigRequest(long haveVersion, String haveDigest) implements PeerMessage {}

    /**
     * Carries one part of a configuration.
     *
     * @param version the version
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
     * Spreads evidence about a request content that crashes upstreams.
     *
     * @param service the service's id
     * @param digest SHA-256 of service and body
     * @param similarity the 64-bit similarity hash
     * @param replicas the replicas that crashed with it
     * @param quarantined whether the content is stopped
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
     * Raises the shed floor of an upstream: tiers below {@code tier} wait.
     *
     * @param upstream the upstream's id
     * @param tier the highest tier that lacks capacity
     * @param ageMillis the age of the notice in milliseconds
     */
    record ShedNotice(String upstream, Tier tier, long ageMillis) implements PeerMessage {}

    /**
     * Asks for the decision records of a request.
     *
     * @param call the number of the call
     * @param requestId the request's id
     */
    record ExplainRequest(long call, String requestId) implements PeerMessage {}

    /**
     * Returns decision records.
     *
     * @param call the number of the call
     * @param records the records in order of time
     */
    record ExplainReply(long call, List<DecisionRecord> records) implements PeerMessage {}

    /**
     * Spreads what the sender knows of members that not all daemons hear directly.
     *
     * @param members the news
     */
    record MemberGossip(List<MemberNews> members) implements PeerMessage {}

    /**
     * Describes one member as of its heartbeat {@code sequence}.
     *
     * @param incarnation the member's incarnation
     * @param slot the member's slot
     * @param zone the member's availability zone
     * @param sequence the number of the last heartbeat known to the sender
     * @param state the state that the sender holds
     */
    record MemberNews(long incarnation, int slot, String zone, long sequence, NewsState state) {}

    /** States of members in gossip. */
    enum NewsState {
        ALIVE,
        LEAVING,
        SUSPECT,
        DEAD
    }

    /** Tells that the sender is leaving and takes no new work. */
    record Leaving() implements PeerMessage {}

    /**
     * Reports what a relay, or all relays that it speaks for, do at replicas and use of quotas.
     *
     * @param address the address at which the sender accepts peers
     * @param leaving whether the sender takes no new work
     * @param daemons the daemons that the digest speaks for, 0 if it counts for nothing
     * @param members addresses of relays that the sender knows, may be empty
     * @param directoryRevision the newest revision of the directory that the sender holds
     * @param configVersion the version of the configuration in force at the sender, 0 if none
     * @param replicas the work at replicas that have any, and their speeds
     * @param use the units that customers used since the sender's last digest to this peer
     */
    record RelayDigest(
            String address,
            boolean leaving,
            int daemons,
            List<String> members,
            long directoryRevision,
            long configVersion,
            List<ReplicaWork> replicas,
            Map<String, Long> use)
            implements PeerMessage {}

    /**
     * Reports a relay's work at one replica.
     *
     * @param replica the replica's id
     * @param inFlight requests in flight from the sender
     * @param prefillTokens prompt tokens sent and not yet answered by an event
     * @param tokenMicros the learned time for one token in microseconds, 0 if unknown
     */
    record ReplicaWork(String replica, int inFlight, int prefillTokens, int tokenMicros) {}

    /**
     * Tells a daemon that starts what is left of the customers' quotas.
     *
     * @param levels the units that are left by customer, negative for a debt
     */
    record QuotaLevels(Map<String, Long> levels) implements PeerMessage {}

    /**
     * Asks for the documents of the directory.
     *
     * @param haveRevision the newest revision that the sender holds, 0 if none
     * @param haveConfigVersion the version of the configuration in force at the sender, 0 if none
     */
    record DirectoryRequest(long haveRevision, long haveConfigVersion) implements PeerMessage {}

    /**
     * Carries the documents of the directory as its source returned them.
     *
     * @param revision the revision that the documents reflect
     * @param names the names of the documents
     * @param contents the contents, parallel to {@code names}
     */
    record DirectoryCopy(long revision, List<String> names, List<byte[]> contents)
            implements PeerMessage {}
}
