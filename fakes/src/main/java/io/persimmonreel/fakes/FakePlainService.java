package io.persimmonreel.fakes;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.persimmonreel.fakes.Fault.Kind;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import ratpack.exec.Promise;
import ratpack.handling.Chain;
import ratpack.handling.Context;
import ratpack.stream.Streams;

/**
 * Fakes a plain service over HTTP: queues requests beyond its concurrency, counts runs by
 * idempotency key and by request id, and answers with the digest of the request body.
 */
public final class FakePlainService extends FakeServer {
    private static final String REQUEST_ID = "Request-Id";
    private static final String FOREIGN_REQUEST_ID = "request-of-another-caller";

    /** Delay between sending the first half of a truncated body and closing the connection. */
    private static final long CLOSE_AFTER_TRUNCATION_MILLIS = 20;

    /**
     * Counts the runs since the service was created, crashes included.
     *
     * @param byKey the number of runs by idempotency key
     * @param byRequestId the number of runs by request id
     * @param keysRefused the number of requests refused because their idempotency key ran before
     */
    public record Runs(
            Map<String, Integer> byKey, Map<String, Integer> byRequestId, int keysRefused) {}

    private final String mReplica;
    private final int mConcurrency;
    private final boolean mChecksKeys;
    private final long mRunMillis;
    private final Map<String, Integer> mRunsByKey = new ConcurrentHashMap<>();
    private final Map<String, Integer> mRunsByRequestId = new ConcurrentHashMap<>();
    private final AtomicInteger mKeysRefused = new AtomicInteger();
    private final Queue<Runnable> mWaitingRuns = new ArrayDeque<>();
    private int mRunning;

    /**
     * Creates a service.
     *
     * @param replica the replica's id
     * @param host the IP number to listen on
     * @param port the port; 0 selects a free port
     * @param concurrency the maximum number of concurrent runs; further requests wait
     * @param runMillis the duration of one run in milliseconds
     * @param checksKeys whether a repeated idempotency key is refused with status 409
     */
    public FakePlainService(
            final String replica,
            final String host,
            final int port,
            final int concurrency,
            final long runMillis,
            final boolean checksKeys) {
        super(replica, host, port);
        mReplica = replica;
        mConcurrency = concurrency;
        mRunMillis = runMillis;
        mChecksKeys = checksKeys;
    }

    /**
     * Returns the result that every fake plain service computes for a request body.
     *
     * @param body the request body
     * @return the SHA-256 digest of the body as 64 lower-case hexadecimal digits
     */
    public static String expectedResult(final String body) {
        return digest(body.getBytes(StandardCharsets.UTF_8));
    }

    /**
     * Returns the counters of runs.
     *
     * @return the counters
     */
    public Runs runs() {
        return new Runs(Map.copyOf(mRunsByKey), Map.copyOf(mRunsByRequestId), mKeysRefused.get());
    }

    @Override
    protected void onCrash() {
        synchronized (mWaitingRuns) {
            mWaitingRuns.clear();
            mRunning = 0;
        }
    }

    @Override
    protected void addRoutes(final Chain chain) throws Exception {
        chain.post("v1/run", this::receive);
        chain.get("v1/runs", context -> sendJson(context, 200, runs()));
        chain.get("v1/load", context -> sendJson(context, 200, loadReport()));
    }

    private void receive(final Context context) {
        context.getRequest().getBody().then(data -> receive(context, data.getBytes()));
    }

    private void receive(final Context context, final byte[] body) throws IOException {
        final String requestId = header(context, REQUEST_ID);
        context.getResponse().getHeaders().set(REQUEST_ID, requestId);
        final Optional<Fault> failure = faults().consume(Kind.FAIL_FAST);
        if (failure.isPresent()) {
            sendJson(context, failure.get().status(), Map.of("error", "the service failed"));
            return;
        }
        final String key = header(context, "Idempotency-Key");
        Promise.<Boolean>async(
                        downstream -> enqueue(() -> run(key, requestId, downstream::success)))
                .then(ran -> answerAfterRun(context, requestId, body, ran));
    }

    private void enqueue(final Runnable run) {
        synchronized (mWaitingRuns) {
            if (mRunning >= mConcurrency) {
                mWaitingRuns.add(run);
                return;
            }
            mRunning++;
        }
        run.run();
    }

    /** Runs a request; it is counted at the start, so that it counts even if the caller leaves. */
    private void run(final String key, final String requestId, final Consumer<Boolean> done) {
        final double slowdownFactor = faults().active(Kind.SLOW).map(Fault::factor).orElse(1.0);
        final boolean ran = countRun(key, requestId);
        schedule(
                ran ? Math.round(mRunMillis * slowdownFactor) : 0,
                () -> {
                    done.accept(ran);
                    startNext();
                });
    }

    private void startNext() {
        final Runnable next;
        synchronized (mWaitingRuns) {
            next = mWaitingRuns.poll();
            if (next == null) {
                mRunning = Math.max(0, mRunning - 1);
                return;
            }
        }
        next.run();
    }

    private void answerAfterRun(
            final Context context, final String requestId, final byte[] body, final boolean ran)
            throws IOException {
        final Optional<Fault> crash =
                faults().consumeCrashOn(new String(body, StandardCharsets.UTF_8));
        if (crash.isPresent()) {
            scheduleCrash(Duration.ofMillis(crash.get().millis()));
            hang(context);
        } else if (!ran) {
            sendJson(context, 409, Map.of("error", "the key ran before"));
        } else if (faults().consume(Kind.HANG).isPresent()) {
            hang(context);
        } else if (faults().consume(Kind.BREAK_AFTER_READ).isPresent()) {
            disconnect(context);
        } else {
            answer(context, requestId, body);
        }
    }

    /** Counts a run; returns false instead if keys are checked and this key ran before. */
    private boolean countRun(final String key, final String requestId) {
        if (!key.isEmpty() && mChecksKeys && mRunsByKey.putIfAbsent(key, 1) != null) {
            mKeysRefused.incrementAndGet();
            return false;
        }
        if (!key.isEmpty() && !mChecksKeys) {
            mRunsByKey.merge(key, 1, Integer::sum);
        }
        mRunsByRequestId.merge(requestId, 1, Integer::sum);
        return true;
    }

    private void answer(final Context context, final String requestId, final byte[] body)
            throws IOException {
        final boolean foreign = faults().consume(Kind.CROSSED_ID).isPresent();
        final String answeredId = foreign ? FOREIGN_REQUEST_ID : requestId;
        final Map<String, Object> result = new LinkedHashMap<>();
        result.put("requestId", answeredId);
        result.put("result", digest(body));
        context.getResponse().getHeaders().set(REQUEST_ID, answeredId);
        final Optional<Fault> late = faults().consume(Kind.LATE_ANSWER);
        if (faults().consume(Kind.TRUNCATE).isPresent()) {
            truncate(context, result.toString());
        } else if (late.isPresent()) {
            Promise.<Boolean>async(
                            downstream ->
                                    schedule(late.get().millis(), () -> downstream.success(true)))
                    .then(ignored -> sendJson(context, 200, result));
        } else {
            sendJson(context, 200, result);
        }
    }

    private void truncate(final Context context, final String body) {
        final ByteBuf half =
                Unpooled.copiedBuffer(
                        body.substring(0, body.length() / 2), StandardCharsets.US_ASCII);
        context.getResponse().getHeaders().set("Content-Length", String.valueOf(body.length()));
        context.getResponse().getHeaders().set("Content-Type", "application/json");
        context.getResponse().sendStream(Streams.publish(List.of(half)));
        schedule(CLOSE_AFTER_TRUNCATION_MILLIS, () -> channel(context).close());
    }

    private Map<String, Object> loadReport() {
        final Map<String, Object> report = new LinkedHashMap<>();
        synchronized (mWaitingRuns) {
            report.put("replica", mReplica);
            report.put("running", mRunning);
            report.put("waiting", mWaitingRuns.size());
            report.put("ageMillis", 0);
        }
        return report;
    }

    private static String header(final Context context, final String name) {
        final String value = context.getRequest().getHeaders().get(name);
        return value == null ? "" : value;
    }

    private static String digest(final byte[] body) {
        try {
            return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(body));
        } catch (final NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }
}
