package io.persimmonreel.daemon.tls;

import io.netty.buffer.ByteBufAllocator;
import io.netty.handler.ssl.ApplicationProtocolNegotiator;
import io.netty.handler.ssl.SslContext;
import io.netty.handler.ssl.SslContextBuilder;
import io.netty.handler.ssl.SslProvider;
import io.persimmonreel.core.time.TimerService;
import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.GeneralSecurityException;
import java.security.cert.X509Certificate;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import javax.net.ssl.SSLEngine;
import javax.net.ssl.SSLSessionContext;

/**
 * A server-side TLS context that reloads its certificate and key when their files change. New
 * connections use the new files; open ones are not affected. Until both files are replaced and
 * match, the old certificate and key stay in use.
 */
public final class ReloadingSslContext extends SslContext implements AutoCloseable {
    private static final Logger LOG = System.getLogger(ReloadingSslContext.class.getName());
    private static final Duration RELOAD_INTERVAL = Duration.ofSeconds(5);

    private final Path mCertificateFile;
    private final Path mKeyFile;
    private final TimerService.Subscription mSubscription;
    private volatile SslContext mContext;
    private byte[] mLastCertificate;
    private byte[] mLastKey;

    /**
     * Reads the files and starts checking them for changes.
     *
     * @param certificate the PEM file with the certificate chain
     * @param key the PEM file with the PKCS #8 private key
     * @param timers the timer service
     * @throws IOException if a file can't be read, is malformed or does not match the other
     */
    public ReloadingSslContext(final Path certificate, final Path key, final TimerService timers)
            throws IOException {
        mCertificateFile = certificate;
        mKeyFile = key;
        mLastCertificate = Files.readAllBytes(certificate);
        mLastKey = Files.readAllBytes(key);
        try {
            mContext = createContext(mLastCertificate, mLastKey);
        } catch (final GeneralSecurityException e) {
            throw new IOException("tls: " + certificate + ": " + e.getMessage(), e);
        }
        mSubscription = timers.every("tls", RELOAD_INTERVAL, now -> reloadIfChanged());
    }

    /**
     * Reloads the files if their contents have changed; an invalid or unmatched pair is not used.
     */
    synchronized void reloadIfChanged() {
        try {
            final byte[] certificate = Files.readAllBytes(mCertificateFile);
            final byte[] key = Files.readAllBytes(mKeyFile);
            if (Arrays.equals(certificate, mLastCertificate) && Arrays.equals(key, mLastKey)) {
                return;
            }
            mLastCertificate = certificate;
            mLastKey = key;
            mContext = createContext(certificate, key);
            LOG.log(Level.INFO, "tls: Reloaded the certificate.");
        } catch (final IOException | GeneralSecurityException e) {
            LOG.log(
                    Level.WARNING,
                    "tls: Failed to reload the certificate; keeping the old one: "
                            + e.getMessage());
        }
    }

    @Override
    public void close() {
        mSubscription.close();
    }

    @Override
    public boolean isClient() {
        return false;
    }

    @Override
    public List<String> cipherSuites() {
        return mContext.cipherSuites();
    }

    @Override
    public ApplicationProtocolNegotiator applicationProtocolNegotiator() {
        return mContext.applicationProtocolNegotiator();
    }

    @Override
    public SSLEngine newEngine(final ByteBufAllocator allocator) {
        return mContext.newEngine(allocator);
    }

    @Override
    public SSLEngine newEngine(
            final ByteBufAllocator allocator, final String peerHost, final int peerPort) {
        return mContext.newEngine(allocator, peerHost, peerPort);
    }

    @Override
    public SSLSessionContext sessionContext() {
        return mContext.sessionContext();
    }

    private static SslContext createContext(final byte[] certificate, final byte[] key)
            throws GeneralSecurityException, IOException {
        final CertificateAndKey own = CertificateAndKey.parse(certificate, key);
        return SslContextBuilder.forServer(own.key(), own.chain().toArray(X509Certificate[]::new))
                .sslProvider(SslProvider.JDK)
                .protocols("TLSv1.3", "TLSv1.2")
                .build();
    }
}
