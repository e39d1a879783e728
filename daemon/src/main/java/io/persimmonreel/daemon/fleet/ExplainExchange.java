package io.persimmonreel.daemon.fleet;

import io.persimmonreel.core.explain.DecisionRecord;
import io.persimmonreel.core.peer.Incarnation;
import io.persimmonreel.core.peer.PeerMessage;
import io.persimmonreel.core.peer.PeerMessage.ExplainReply;
import io.persimmonreel.core.peer.PeerMessage.ExplainRequest;
import io.persimmonreel.core.peer.PeerSender;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Function;

/**
 * Collects the decision records of a request from this daemon and its peers.
 *
 * <p>A peer that does not answer in time is left out. Instances are thread safe.
 */
public final class ExplainExchange implements PeerHandler {
    /** An operator waits for the result; a peer that takes longer is paused or unreachable. */
    private static final Duration REPLY_TIMEOUT = Duration.ofSeconds(1);

    /** Keeps a reply below the maximum frame size. */
    private static final int MAXIMUM_RECORDS = 1_000;

    private static final int MAXIMUM_PENDING_REPLIES = 1_000;

    private final PeerSender mSender;
    private final Function<String, List<DecisionRecord>> mLocalRecords;
    private final AtomicLong mLastCall = new AtomicLong();
    private final Map<Long, CompletableFuture<List<DecisionRecord>>> mPendingReplies =
            new ConcurrentHashMap<>();

    /**
     * Creates an exchange.
     *
     * @param sender sends messages to peers
     * @param localRecords finds this daemon's records of a request
     */
    public ExplainExchange(
            final PeerSender sender, final Function<String, List<DecisionRecord>> localRecords) {
        mSender = sender;
        mLocalRecords = localRecords;
    }

    /**
     * Collects the records of a request from this daemon and its peers.
     *
     * @param requestId the request's id
     * @param peers the peers to ask
     * @return the records in order of their wall clock time
     */
    public CompletableFuture<List<DecisionRecord>> gather(
            final String requestId, final Collection<Incarnation> peers) {
        final List<CompletableFuture<List<DecisionRecord>>> replies = new ArrayList<>();
        for (final Incarnation peer : peers) {
            replies.add(ask(requestId, peer));
        }
        return CompletableFuture.allOf(replies.toArray(CompletableFuture[]::new))
                .thenApply(done -> merge(requestId, replies));
    }

    @Override
    public void onMessage(final Incarnation from, final PeerMessage message) {
        if (message instanceof ExplainRequest request) {
            final List<DecisionRecord> records = mLocalRecords.apply(request.requestId());
            final int count = Math.min(records.size(), MAXIMUM_RECORDS);
            mSender.send(from, new ExplainReply(request.call(), records.subList(0, count)));
        } else if (message instanceof ExplainReply reply) {
            final CompletableFuture<List<DecisionRecord>> pending =
                    mPendingReplies.get(reply.call());
            if (pending != null) {
                pending.complete(reply.records());
            }
        }
    }

    private CompletableFuture<List<DecisionRecord>> ask(
            final String requestId, final Incarnation peer) {
        final CompletableFuture<List<DecisionRecord>> reply = new CompletableFuture<>();
        if (mPendingReplies.size() >= MAXIMUM_PENDING_REPLIES) {
            reply.complete(List.of());
            return reply;
        }
        final long call = mLastCall.incrementAndGet();
        mPendingReplies.put(call, reply);
        mSender.send(peer, new ExplainRequest(call, requestId));
        return reply.completeOnTimeout(List.of(), REPLY_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)
                .whenComplete((records, error) -> mPendingReplies.remove(call));
    }

    private List<DecisionRecord> merge(
            final String requestId, final List<CompletableFuture<List<DecisionRecord>>> replies) {
        final List<DecisionRecord> records = new ArrayList<>(mLocalRecords.apply(requestId));
        replies.forEach(reply -> records.addAll(reply.join()));
        records.sort(Comparator.comparingLong(DecisionRecord::wallMillis));
        return records;
    }
}
