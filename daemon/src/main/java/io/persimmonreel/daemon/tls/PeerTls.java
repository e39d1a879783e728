package io.persimmonreel.daemon.tls;

import io.netty.buffer.ByteBufAllocator;
import io.netty.handler.ssl.ClientAuth;
import io.netty.handler.ssl.SslContext;
import io.netty.handler.ssl.SslContextBuilder;
import io.netty.handler.ssl.SslHandler;
import io.netty.handler.ssl.SslProvider;
import io.persimmonreel.core.time.TimerService;
import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.GeneralSecurityException;
import java.security.cert.Certificate;
import java.security.cert.CertificateException;
import java.security.cert.CertificateFactory;
import java.security.cert.X509Certificate;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * Provides mutual TLS for connections between daemons. Both sides must present a certificate issued
 * by one of the accepted authorities.
 *
 * <p>Changed files are reloaded while the daemon runs. New connections use the new files; open ones
 * are not affected. While certificates move from one authority to another, the authority file
 * contains both. Names in certificates are not verified, since peers are addressed by the IP
 * addresses of replaceable hosts.
 */
public final class PeerTls implements AutoCloseable {
    private static final Logger LOG = System.getLogger(PeerTls.class.getName());
    private static final Duration RELOAD_INTERVAL = Duration.ofSeconds(5);

    private final List<Path> mFiles;
    private final TimerService.Subscription mSubscription;
    private volatile Contexts mContexts;
    private List<byte[]> mLastContents;

    private record Contexts(SslContext client, SslContext server) {}

    /**
     * Reads the files and starts checking them for changes.
     *
     * @param certificate the PEM file with the certificate chain
     * @param key the PEM file with the PKCS #8 private key
     * @param authority the PEM file with the certificates of the accepted authorities
     * @param timers the timer service
     * @throws IOException if a file can't be read, is invalid or does not match the others
     */
    public PeerTls(
            final Path certificate, final Path key, final Path authority, final TimerService timers)
            throws IOException {
        mFiles = List.of(certificate, key, authority);
        mLastContents = readFiles();
        try {
            mContexts = createContexts(mLastContents);
        } catch (final GeneralSecurityException e) {
            throw new IOException("tls: " + certificate + ": " + e.getMessage(), e);
        }
        mSubscription = timers.every("peer-tls", RELOAD_INTERVAL, now -> reloadIfChanged());
    }

    /** Reloads the files if their contents have changed; invalid contents are not used. */
    synchronized void reloadIfChanged() {
        try {
            final List<byte[]> contents = readFiles();
            boolean changed = false;
            for (int i = 0; i < contents.size(); i++) {
                changed |= !Arrays.equals(contents.get(i), mLastContents.get(i));
            }
            if (changed) {
                mLastContents = contents;
                mContexts = createContexts(contents);
                LOG.log(Level.INFO, "tls: Reloaded the certificates for peers.");
            }
        } catch (final IOException | GeneralSecurityException e) {
            LOG.log(
                    Level.WARNING,
                    "tls: Failed to reload the certificates for peers; keeping the old ones: "
                            + e.getMessage());
        }
    }

    /**
     * Creates the TLS handler of one connection.
     *
     * @param client true on the side that opens the connection
     * @param allocator allocates the handler's buffers
     * @return the handler, which must be the first in the pipeline
     */
    public SslHandler handler(final boolean client, final ByteBufAllocator allocator) {
        final Contexts contexts = mContexts;
        return (client ? contexts.client() : contexts.server()).newHandler(allocator);
    }

    @Override
    public void close() {
        mSubscription.close();
    }

    private List<byte[]> readFiles() throws IOException {
        final List<byte[]> contents = new ArrayList<>();
        for (final Path file : mFiles) {
            contents.add(Files.readAllBytes(file));
        }
        return contents;
    }

    private static Contexts createContexts(final List<byte[]> contents)
            throws GeneralSecurityException, IOException {
        final CertificateAndKey own = CertificateAndKey.parse(contents.get(0), contents.get(1));
        final X509Certificate[] chain = own.chain().toArray(X509Certificate[]::new);
        final X509Certificate[] authorities = parseAuthorities(contents.get(2));
        return new Contexts(
                buildContext(
                        SslContextBuilder.forClient().keyManager(own.key(), chain), authorities),
                buildContext(
                        SslContextBuilder.forServer(own.key(), chain)
                                .clientAuth(ClientAuth.REQUIRE),
                        authorities));
    }

    private static SslContext buildContext(
            final SslContextBuilder builder, final X509Certificate[] authorities)
            throws IOException {
        return builder.sslProvider(SslProvider.JDK)
                .protocols("TLSv1.3", "TLSv1.2")
                .trustManager(authorities)
                .build();
    }

    private static X509Certificate[] parseAuthorities(final byte[] pem)
            throws CertificateException {
        final List<X509Certificate> authorities = new ArrayList<>();
        for (final Certificate each :
                CertificateFactory.getInstance("X.509")
                        .generateCertificates(new ByteArrayInputStream(pem))) {
            authorities.add((X509Certificate) each);
        }
        if (authorities.isEmpty()) {
            throw new CertificateException("file contains no certificate of an authority");
        }
        return authorities.toArray(X509Certificate[]::new);
    }
}
