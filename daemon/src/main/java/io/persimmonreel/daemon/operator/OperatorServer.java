package io.persimmonreel.daemon.operator;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.persimmonreel.core.explain.DecisionRecord;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import ratpack.exec.Promise;
import ratpack.handling.Chain;
import ratpack.handling.Context;
import ratpack.server.RatpackServer;

/**
 * Serves metrics, health, state, decision records and reports to operators over HTTP. The port has
 * no authentication and belongs on a loopback address.
 */
public final class OperatorServer implements AutoCloseable {
    private static final ObjectMapper MAPPER =
            JsonMapper.builder()
                    .findAndAddModules()
                    .disable(SerializationFeature.FAIL_ON_EMPTY_BEANS)
                    .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
                    .build();

    private final OperatorParts mParts;
    private final RatpackServer mServer;

    /**
     * Starts the server.
     *
     * @param address the address to listen on
     * @param parts what the server depends on
     * @throws IOException if the address can't be bound
     */
    public OperatorServer(final InetSocketAddress address, final OperatorParts parts)
            throws IOException {
        mParts = parts;
        try {
            mServer =
                    RatpackServer.start(
                            spec ->
                                    spec.serverConfig(
                                                    config ->
                                                            config.address(address.getAddress())
                                                                    .port(address.getPort())
                                                                    .threads(1)
                                                                    .development(false)
                                                                    .registerShutdownHook(false))
                                            .handlers(this::route));
        } catch (final Exception e) {
            throw new IOException("operator: can't listen on " + address, e);
        }
    }

    /**
     * Returns the port that the server listens on.
     *
     * @return the port
     */
    public int port() {
        return mServer.getBindPort();
    }

    @Override
    public void close() throws IOException {
        try {
            mServer.stop();
        } catch (final Exception e) {
            throw new IOException("operator: the server did not stop", e);
        }
    }

    private void route(final Chain chain) throws Exception {
        chain.get(
                        "metrics",
                        context ->
                                context.getResponse()
                                        .send(
                                                PrometheusTextFormatWriter.CONTENT_TYPE,
                                                mParts.metrics().write()))
                .get("health/live", context -> sendJson(context, 200, Map.of("live", true)))
                .get("health/ready", this::sendReadiness)
                .get("v1/state", context -> sendJson(context, 200, mParts.state().get()))
                .get("v1/explain/:requestId", this::sendDecisionRecords)
                .get("v1/report", context -> sendJson(context, 200, mParts.report().get()));
    }

    private void sendReadiness(final Context context) throws IOException {
        final List<String> waitingFor = mParts.readiness().waitingFor();
        sendJson(
                context,
                waitingFor.isEmpty() ? 200 : 503,
                Map.of("ready", waitingFor.isEmpty(), "waitingFor", waitingFor));
    }

    private void sendDecisionRecords(final Context context) {
        final String requestId = context.getPathTokens().get("requestId");
        Promise.<List<DecisionRecord>>async(down -> down.accept(mParts.explain().apply(requestId)))
                .then(
                        records ->
                                sendJson(
                                        context,
                                        records.isEmpty() ? 404 : 200,
                                        Map.of("requestId", requestId, "records", records)));
    }

    private static void sendJson(final Context context, final int status, final Object value)
            throws IOException {
        context.getResponse().status(status);
        context.getResponse().send("application/json", MAPPER.writeValueAsBytes(value));
    }
}
