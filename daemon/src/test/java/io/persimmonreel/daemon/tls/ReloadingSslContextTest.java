package io.persimmonreel.daemon.tls;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.persimmonreel.core.time.TimerService;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.cert.X509Certificate;
import java.time.Duration;
import java.util.Optional;
import javax.net.ssl.SSLContext;
import javax.net.ssl.SSLSocket;
import javax.net.ssl.TrustManager;
import javax.net.ssl.X509TrustManager;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import ratpack.server.RatpackServer;

class ReloadingSslContextTest {
    private static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();

    @TempDir private Path mDirectory;
    private Path mCertificateFile;
    private Path mKeyFile;

    @BeforeEach
    void installFirstPair() throws Exception {
        mCertificateFile = mDirectory.resolve("certificate.pem");
        mKeyFile = mDirectory.resolve("key.pem");
        copy("first.pem", mCertificateFile);
        copy("first-key.pem", mKeyFile);
    }

    private static void copy(final String resource, final Path to) throws IOException {
        try (InputStream in =
                ReloadingSslContextTest.class.getResourceAsStream("/tls/" + resource)) {
            Files.write(to, in.readAllBytes());
        }
    }

    private ReloadingSslContext tls() throws IOException {
        return new ReloadingSslContext(mCertificateFile, mKeyFile, new NoTimers());
    }

    /** Never calls its listeners; the tests trigger reloads themselves. */
    private static final class NoTimers implements TimerService {
        @Override
        public Subscription every(
                final String name, final Duration interval, final TimerListener listener) {
            return () -> {};
        }

        @Override
        public Subscription after(
                final String name, final Duration delay, final TimerListener listener) {
            return () -> {};
        }
    }

    @Nested
    class Reload {
        /**
         * Guards against using a key that does not match while the files are replaced one by one.
         */
        @Test
        void keepsTheOldPairUntilBothFilesMatch() throws Exception {
            final ReloadingSslContext tls = tls();
            final RatpackServer server =
                    RatpackServer.start(
                            spec ->
                                    spec.serverConfig(
                                                    config ->
                                                            config.port(0)
                                                                    .address(LOOPBACK)
                                                                    .ssl(tls))
                                            .handlers(chain -> chain.all(c -> c.render("ok"))));
            try {
                assertThat(certificateSubject(server)).contains("first.test");
                copy("second.pem", mCertificateFile);
                tls.reloadIfChanged();
                assertThat(certificateSubject(server)).contains("first.test");
                copy("second-key.pem", mKeyFile);
                tls.reloadIfChanged();
                assertThat(certificateSubject(server)).contains("second.test");
                Files.writeString(mKeyFile, "nonsense");
                tls.reloadIfChanged();
                assertThat(certificateSubject(server)).contains("second.test");
            } finally {
                server.stop();
            }
        }
    }

    @Nested
    class Start {
        @Test
        void rejectsAKeyThatDoesNotMatch() throws Exception {
            copy("second-key.pem", mKeyFile);
            assertThatThrownBy(() -> tls()).isInstanceOf(IOException.class);
        }
    }

    private static String certificateSubject(final RatpackServer server) throws Exception {
        final SSLContext context = SSLContext.getInstance("TLS");
        context.init(null, new TrustManager[] {new TrustAll()}, null);
        try (SSLSocket socket = (SSLSocket) context.getSocketFactory().createSocket()) {
            socket.connect(new InetSocketAddress(LOOPBACK, server.getBindPort()));
            socket.setSoTimeout(20_000);
            socket.startHandshake();
            return Optional.of((X509Certificate) socket.getSession().getPeerCertificates()[0])
                    .map(c -> c.getSubjectX500Principal().getName())
                    .orElseThrow();
        }
    }

    /** Accepts the self-signed certificates of this test. */
    private static final class TrustAll implements X509TrustManager {
        @Override
        public void checkClientTrusted(final X509Certificate[] chain, final String type) {
            throw new UnsupportedOperationException();
        }

        @Override
        public void checkServerTrusted(final X509Certificate[] chain, final String type) {
            assertThat(chain).isNotEmpty();
        }

        @Override
        public X509Certificate[] getAcceptedIssuers() {
            return new X509Certificate[0];
        }
    }
}
