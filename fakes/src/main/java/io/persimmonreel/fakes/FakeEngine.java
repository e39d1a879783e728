package io.persimmonreel.fakes;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.persimmonreel.fakes.Fault.Kind;
import java.io.IOException;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import ratpack.handling.Chain;
import ratpack.handling.Context;
import ratpack.http.ResponseChunks;

/**
 * Fakes a model engine over HTTP: runs streams in a continuous batch at a configured speed, caches
 * prompt prefixes and keeps the KV caches of paused streams.
 *
 * <p>The text generated for a prompt depends on the prompt only, see {@link #expectedText}. A
 * prompt that contains {@code tokens=N} yields N tokens, limited by the request's maximum.
 */
public final class FakeEngine extends FakeServer {
    private static final long STEP_MILLIS = 4;
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final EngineSettings mSettings;
    private final EngineSimulation mSimulation;
    private final EngineOrders mOrders;
    private final LoadHistory mLoadHistory = new LoadHistory();
    private final ObjectMapper mJson = new ObjectMapper();
    private volatile long mReportAgeMillis;

    /**
     * Creates an engine on the loopback address.
     *
     * @param settings the settings
     * @param port the port; 0 selects a free port
     */
    public FakeEngine(final EngineSettings settings, final int port) {
        this(settings, "127.0.0.1", port);
    }

    /**
     * Creates an engine.
     *
     * @param settings the settings
     * @param host the IP number to listen on
     * @param port the port; 0 selects a free port
     */
    public FakeEngine(final EngineSettings settings, final String host, final int port) {
        super(settings.replica(), host, port);
        mSettings = settings;
        mSimulation =
                new EngineSimulation(settings, this::scheduleCrashForMillis, System.nanoTime());
        mOrders = new EngineOrders(settings);
        mReportAgeMillis = settings.reportAgeMillis();
    }

    /**
     * Returns the text that every fake engine generates for a prompt.
     *
     * @param prompt the prompt as sent to the engine
     * @param tokens the number of tokens
     * @return the texts of the tokens, concatenated in order
     */
    public static String expectedText(final String prompt, final int tokens) {
        final long hash = GeneratedText.hash(prompt);
        final StringBuilder text = new StringBuilder();
        for (int i = 0; i < tokens; i++) {
            text.append(GeneratedText.token(hash, i));
        }
        return text.toString();
    }

    /**
     * Returns the number of tokens that every fake engine generates for a prompt.
     *
     * @param prompt the prompt as sent to the engine
     * @param maxOutputTokens the maximum number of tokens, at least 1
     * @return the number of tokens
     */
    public static int expectedTokens(final String prompt, final int maxOutputTokens) {
        return GeneratedText.tokenCount(prompt, maxOutputTokens);
    }

    /**
     * Returns counters of the work done since this object was created, crashes included.
     *
     * @return the counters
     */
    public EngineStats stats() {
        return mSimulation.stats(mOrders.modelLoads(), mOrders.refusedOrders());
    }

    /**
     * Sets the minimum age of load reports.
     *
     * @param millis the minimum age in milliseconds
     */
    public void setReportAgeMillis(final long millis) {
        mReportAgeMillis = millis;
    }

    @Override
    protected void onStart(final ScheduledExecutorService scheduler) {
        scheduler.scheduleWithFixedDelay(
                this::step, STEP_MILLIS, STEP_MILLIS, TimeUnit.MILLISECONDS);
    }

    @Override
    protected void onCrash() {
        mSimulation.crash();
        mLoadHistory.clear();
    }

    @Override
    protected void addRoutes(final Chain chain) throws Exception {
        chain.post("v1/streams", this::startStream);
        chain.post("v1/streams/:id/resume", this::resumeStream);
        chain.post("v1/streams/:id/pause", this::pauseStream);
        chain.delete("v1/streams/:id", this::discardStream);
        chain.path(
                "v1/streams/:id/kv",
                context ->
                        context.byMethod(
                                spec ->
                                        spec.get(() -> exportKv(context))
                                                .put(() -> importKv(context))));
        chain.get("v1/load", context -> sendJson(context, 200, loadReport()));
        chain.get("v1/cache-events", this::sendCacheEvents);
        chain.get("v1/runs", context -> sendJson(context, 200, stats()));
        chain.post("v1/orders", this::applyOrder);
    }

    private void step() {
        final long now = System.nanoTime();
        final double slowdownFactor = faults().active(Kind.SLOW).map(Fault::factor).orElse(1.0);
        mSimulation.step(now, mOrders.isLoading(now) ? 0 : slowdownFactor);
        mLoadHistory.add(mSimulation.load(), now);
    }

    private void startStream(final Context context) {
        readJson(context).then(node -> startStream(context, node));
    }

    private void startStream(final Context context, final JsonNode node) throws IOException {
        final Optional<Fault> failure = faults().consume(Kind.FAIL_FAST);
        if (failure.isPresent()) {
            sendJson(context, failure.get().status(), Map.of("error", "the engine failed"));
            return;
        }
        final EngineOrders.State orders = mOrders.state();
        if (!node.path("model").asText(orders.model()).equals(orders.model())
                || !node.path("modelVersion")
                        .asText(orders.modelVersion())
                        .equals(orders.modelVersion())) {
            sendJson(context, 409, Map.of("error", "the model is not loaded"));
            return;
        }
        final EngineStream.Work work = readWork(node);
        if (work.id().isEmpty() || work.promptTokens() > mSettings.kvCapacityTokens()) {
            sendJson(context, 400, Map.of("error", "no stream id, or the prompt is too long"));
            return;
        }
        if (faults().consume(Kind.HANG).isPresent()) {
            mSimulation.countRun(work.id());
            hang(context);
            return;
        }
        final SseTokenSink sink = newSink(context, work.id());
        final EngineStream stream = new EngineStream(work, sink);
        faults().consumeCrashOn(work.prompt())
                .ifPresent(f -> stream.mCrashDowntimeMillis = f.millis());
        mSimulation.start(stream);
        sendEvents(context, sink);
    }

    private static EngineStream.Work readWork(final JsonNode node) {
        final String prefix = node.path("prefixHash").asText("");
        final int promptTokens = Math.max(1, node.path("promptTokens").asInt(1));
        return new EngineStream.Work(
                node.path("streamId").asText(""),
                node.path("prompt").asText(""),
                promptTokens,
                "0".equals(prefix) ? "" : prefix,
                node.path("prefixTokens").asInt(promptTokens / 2),
                Math.max(1, node.path("maxOutputTokens").asInt(1)));
    }

    private SseTokenSink newSink(final Context context, final String id) {
        return new SseTokenSink(
                id,
                mJson,
                faults(),
                () -> channel(context).close(),
                sink -> mSimulation.readerLost(id, sink));
    }

    private static void sendEvents(final Context context, final SseTokenSink sink) {
        context.render(
                ResponseChunks.stringChunks("text/event-stream;charset=UTF-8", sink.publisher()));
    }

    private void resumeStream(final Context context) {
        final String id = context.getPathTokens().get("id");
        readJson(context)
                .then(
                        node -> {
                            final SseTokenSink sink = newSink(context, id);
                            if (mSimulation.resume(id, node.path("from").asInt(), sink)) {
                                sendEvents(context, sink);
                            } else {
                                sendJson(context, 404, Map.of("error", "the stream is not held"));
                            }
                        });
    }

    private void pauseStream(final Context context) throws IOException {
        final String id = context.getPathTokens().get("id");
        final Optional<Integer> tokens = mSimulation.pause(id);
        if (tokens.isPresent()) {
            sendJson(context, 200, Map.of("streamId", id, "tokens", tokens.get()));
        } else {
            sendJson(context, 404, Map.of("error", "the stream is not held"));
        }
    }

    private void discardStream(final Context context) throws IOException {
        final String id = context.getPathTokens().get("id");
        sendJson(context, mSimulation.discard(id) ? 200 : 404, Map.of("streamId", id));
    }

    private void exportKv(final Context context) throws IOException {
        final Optional<KvState> state = mSimulation.export(context.getPathTokens().get("id"));
        if (state.isPresent()) {
            sendJson(context, 200, state.get());
        } else {
            sendJson(context, 404, Map.of("error", "the KV cache is not held"));
        }
    }

    private void importKv(final Context context) {
        readJson(context)
                .then(
                        node -> {
                            final boolean accepted =
                                    mSimulation.importState(readState(node), System.nanoTime());
                            sendJson(context, accepted ? 200 : 507, Map.of("imported", accepted));
                        });
    }

    private KvState readState(final JsonNode node) throws JsonProcessingException {
        return mJson.treeToValue(node, KvState.class);
    }

    private Map<String, Object> loadReport() {
        final long now = System.nanoTime();
        final LoadHistory.Sample sample =
                mLoadHistory.newestOfAge(mReportAgeMillis * NANOS_PER_MILLI, now);
        final EngineOrders.State orders = mOrders.state();
        final Map<String, Object> report = new LinkedHashMap<>();
        report.put("replica", mSettings.replica());
        report.put("generation", mSettings.generation());
        report.put("running", sample.load().running());
        report.put("waiting", sample.load().waiting());
        report.put("prefillBacklogTokens", sample.load().prefillBacklogTokens());
        report.put("kvUsedTokens", sample.load().kvUsedTokens());
        report.put("kvCapacityTokens", mSettings.kvCapacityTokens());
        report.put("model", orders.model());
        report.put("modelVersion", orders.modelVersion());
        report.put("fence", orders.fence());
        report.put("ageMillis", (now - sample.nanos()) / NANOS_PER_MILLI);
        return report;
    }

    private void sendCacheEvents(final Context context) throws IOException {
        final String after = context.getRequest().getQueryParams().get("after");
        final long afterSequence = after == null ? 0 : Long.parseLong(after);
        final long visibleBeforeNanos =
                System.nanoTime() - mSettings.eventDelayMillis() * NANOS_PER_MILLI;
        final List<Map<String, Object>> events =
                mSimulation.events(afterSequence, visibleBeforeNanos).stream()
                        .map(FakeEngine::eventMap)
                        .toList();
        sendJson(context, 200, Map.of("events", events));
    }

    private static Map<String, Object> eventMap(final PrefixCache.Event event) {
        return Map.of(
                "sequence", event.sequence(),
                "kind", event.kind(),
                "prefixHash", event.prefixHash(),
                "tokens", event.tokens());
    }

    private void applyOrder(final Context context) {
        readJson(context)
                .then(
                        node -> {
                            final boolean accepted =
                                    mOrders.apply(
                                            node.path("kind").asText(),
                                            node.path("model").asText(),
                                            node.path("version").asText(),
                                            node.path("fence").asLong(),
                                            System.nanoTime());
                            sendJson(
                                    context,
                                    accepted ? 200 : 409,
                                    Map.of("fence", mOrders.state().fence()));
                        });
    }

    private void scheduleCrashForMillis(final long downtimeMillis) {
        scheduleCrash(Duration.ofMillis(downtimeMillis));
    }
}
