package io.persimmonreel.daemon;

import java.util.List;

/**
 * Holds the state of a daemon as operators see it.
 *
 * @param slot the daemon's slot
 * @param incarnation the daemon's incarnation
 * @param zone the availability zone
 * @param configVersion the version of the accepted configuration, 0 if none
 * @param configDigest the digest of the accepted configuration text
 * @param rejected the rejected configuration versions, each with its first validation finding
 * @param waitingFor what the daemon waits for, empty if it is ready
 * @param members the live members as {@code slot:incarnation}
 * @param unconfirmed the number of silent members that the host list still shows as live
 * @param requestsInProgress the number of requests queued or dispatched
 * @param draining whether the daemon finishes its requests and takes no new ones
 * @param peerBytesReceived bytes received from peers since the start
 * @param peerMessagesDropped messages to peers that were dropped instead of sent
 */
public record DaemonState(
        int slot,
        String incarnation,
        String zone,
        long configVersion,
        String configDigest,
        List<String> rejected,
        List<String> waitingFor,
        List<String> members,
        int unconfirmed,
        int requestsInProgress,
        boolean draining,
        long peerBytesReceived,
        long peerMessagesDropped) {}
