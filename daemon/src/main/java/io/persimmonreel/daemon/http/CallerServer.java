package io.persimmonreel.daemon.http;

import io.netty.handler.ssl.SslContext;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Optional;
import ratpack.error.ClientErrorHandler;
import ratpack.error.ServerErrorHandler;
import ratpack.handling.Chain;
import ratpack.registry.RegistrySpec;
import ratpack.server.RatpackServer;
import ratpack.server.ServerConfigBuilder;

/** Serves callers over HTTP, with TLS if a certificate is configured. */
public final class CallerServer implements AutoCloseable {
    static final int MAXIMUM_HEADER_BYTES = 16 * 1024;

    /** Closes connections that send nothing; a request in progress sets a timeout of its own. */
    private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(30);

    /**
     * Limits the time in which the headers and body of one request arrive. A usual request takes
     * far less even over a poor connection, and bytes sent one by one would never meet the idle
     * timeout.
     */
    private static final Duration RECEIVE_TIMEOUT = Duration.ofSeconds(15);

    private final RatpackServer mServer;

    /**
     * Starts the server.
     *
     * @param address the address to listen on
     * @param tls the TLS context, empty for plain HTTP
     * @param parts what the server depends on
     * @throws IOException if the address can't be bound
     */
    public CallerServer(
            final InetSocketAddress address,
            final Optional<SslContext> tls,
            final CallerParts parts)
            throws IOException {
        this(address, tls, parts, RECEIVE_TIMEOUT);
    }

    CallerServer(
            final InetSocketAddress address,
            final Optional<SslContext> tls,
            final CallerParts parts,
            final Duration receiveTimeout)
            throws IOException {
        final ResponseWriter responseWriter = new ResponseWriter(parts);
        final RequestHeadReader headReader = new RequestHeadReader(parts);
        final RequestHandler requestHandler = new RequestHandler(parts, headReader, responseWriter);
        final IdempotencyKeyHandler keyHandler =
                new IdempotencyKeyHandler(parts, headReader, responseWriter);
        try {
            mServer =
                    new GuardedServer(
                            spec ->
                                    spec.serverConfig(config -> configure(config, address, tls))
                                            .registryOf(
                                                    registry -> register(registry, responseWriter))
                                            .handlers(
                                                    chain ->
                                                            route(
                                                                    chain,
                                                                    requestHandler,
                                                                    keyHandler)),
                            () ->
                                    new ConnectionGuard(
                                            receiveTimeout,
                                            responseWriter::recordMalformedRequest));
            mServer.start();
        } catch (final Exception e) {
            throw new IOException("http: can't listen on " + address, e);
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
            throw new IOException("http: the server did not stop", e);
        }
    }

    private static void configure(
            final ServerConfigBuilder config,
            final InetSocketAddress address,
            final Optional<SslContext> tls) {
        config.address(address.getAddress())
                .port(address.getPort())
                .development(false)
                .registerShutdownHook(false)
                .maxHeaderSize(MAXIMUM_HEADER_BYTES)
                .idleTimeout(IDLE_TIMEOUT);
        tls.ifPresent(config::ssl);
    }

    private static void register(final RegistrySpec registry, final ResponseWriter responseWriter) {
        registry.add(ClientErrorHandler.class, responseWriter)
                .add(ServerErrorHandler.class, responseWriter);
    }

    private static void route(
            final Chain chain,
            final RequestHandler requestHandler,
            final IdempotencyKeyHandler keyHandler)
            throws Exception {
        chain.all(new PipeliningGuard())
                .post("v1/services/:service/requests", requestHandler)
                .post("v1/keys", keyHandler);
    }
}
