package io.persimmonreel.daemon.request;

import io.persimmonreel.core.explain.DecisionLog;
import io.persimmonreel.core.order.ReportedModel;
import io.persimmonreel.core.peer.PeerMessage.ShedNotice;
import io.persimmonreel.core.schedule.Scheduler;
import io.persimmonreel.core.time.TimeSource;
import io.persimmonreel.daemon.upstream.ControlClient;
import io.persimmonreel.daemon.upstream.EngineClient;
import io.persimmonreel.daemon.upstream.PlainClient;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Function;

/**
 * Groups the components that the request path uses.
 *
 * @param scheduler decides when and where requests are dispatched
 * @param claims obtains claims for requests of non-idempotent services
 * @param quarantine blocks requests whose content crashed replicas
 * @param engineClient sends requests to engines
 * @param plainClient sends requests to plain services
 * @param controlClient reads the load reports of replicas
 * @param reportedModels finds the model that a replica serves by its id, empty if it is not known
 * @param time the monotonic and the wall clock
 * @param decisionLog stores decision records
 * @param observer receives finished requests
 * @param shedNoticePublisher sends shed notices to all peers
 */
public record RequestComponents(
        Scheduler scheduler,
        ClaimGateway claims,
        QuarantineGateway quarantine,
        EngineClient engineClient,
        PlainClient plainClient,
        ControlClient controlClient,
        Function<String, Optional<ReportedModel>> reportedModels,
        TimeSource time,
        DecisionLog decisionLog,
        RequestObserver observer,
        Consumer<ShedNotice> shedNoticePublisher) {}
