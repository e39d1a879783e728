package io.persimmonreel.proof;

import static org.assertj.core.api.Assertions.assertThat;

import io.persimmonreel.daemon.Daemon;
import io.persimmonreel.daemon.settings.DaemonSettings;
import io.persimmonreel.fakes.EngineSettings;
import io.persimmonreel.fakes.FakeEngine;
import io.persimmonreel.fakes.FakePlainService;
import io.persimmonreel.fakes.FakePlatform;
import io.persimmonreel.fakes.HostEntry;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.MessageDigest;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests changes of TLS certificates and of a customer key while callers send requests. */
class CredentialChangeTest {
    private static final long MAXIMUM_WAIT_NANOS = TimeUnit.SECONDS.toNanos(90);
    private static final int DAEMONS = 3;

    @TempDir private Path mDirectory;
    private final FakeEngine mEngine =
            new FakeEngine(EngineSettings.of("e1", "g3", 16, "m", "1", true), 0);
    private final FakePlainService mPlainService =
            new FakePlainService("p1", "127.0.0.1", 0, 16, 5, false);
    private final FakePlatform mPlatform = new FakePlatform(0);
    private final List<Daemon> mDaemons = new ArrayList<>();
    private final List<HostEntry> mHosts = new ArrayList<>();

    @BeforeEach
    void start() throws Exception {
        mEngine.start();
        mPlainService.start();
        mPlatform.start();
        mPlatform.publish(operatorText("old-key"));
        mPlatform.publishHosts(List.of());
        installCertificate("caller", "a");
        for (int slot = 1; slot <= DAEMONS; slot++) {
            installCertificate("peer" + slot, "a");
            installAuthorities(slot, "a");
            startDaemon(slot);
        }
        await(() -> mDaemons.stream().allMatch(d -> d.state().members().size() == DAEMONS));
        await(() -> mDaemons.stream().allMatch(d -> d.waitingFor().isEmpty()));
    }

    @AfterEach
    void stop() {
        mDaemons.forEach(Daemon::close);
        mEngine.close();
        mPlainService.close();
        mPlatform.close();
    }

    private void startDaemon(final int slot) throws Exception {
        final List<String> peers = mHosts.stream().map(HostEntry::address).toList();
        final String peer = mDirectory.resolve("peer" + slot).toString();
        final Daemon daemon =
                new Daemon(
                        DaemonSettings.parse(
                                new String[] {
                                    "--caller-address=127.0.0.1:0",
                                    "--operator-address=127.0.0.1:0",
                                    "--peer-address=127.0.0.1:0",
                                    "--slot=" + slot,
                                    "--zone=z1",
                                    "--platform-address=" + mPlatform.address(),
                                    "--peers=" + String.join(",", peers),
                                    "--tls-certificate=" + mDirectory.resolve("caller.pem"),
                                    "--tls-key=" + mDirectory.resolve("caller-key.pem"),
                                    "--peer-tls-certificate=" + peer + ".pem",
                                    "--peer-tls-key=" + peer + "-key.pem",
                                    "--peer-tls-authority=" + peer + "-authority.pem"
                                },
                                Map.of("PERSIMMONREEL_FLEET_SECRET", "0123456789abcdef")));
        mDaemons.add(daemon);
        daemon.start();
        mHosts.add(
                new HostEntry(slot, "127.0.0.1:" + daemon.peerAddress().getPort(), "z1", "live"));
        mPlatform.publishHosts(List.copyOf(mHosts));
    }

    private void installCertificate(final String to, final String daemon) throws Exception {
        Files.write(mDirectory.resolve(to + ".pem"), resource("test-daemon-" + daemon));
        Files.write(
                mDirectory.resolve(to + "-key.pem"), resource("test-daemon-" + daemon + "-key"));
    }

    private void installAuthorities(final int slot, final String... names) throws Exception {
        final StringBuilder all = new StringBuilder();
        for (final String name : names) {
            all.append(new String(resource("test-authority-" + name)));
        }
        Files.writeString(mDirectory.resolve("peer" + slot + "-authority.pem"), all);
    }

    private static byte[] resource(final String name) throws Exception {
        try (var in =
                CredentialChangeTest.class.getResourceAsStream("/peer-tls/" + name + ".pem")) {
            return in.readAllBytes();
        }
    }

    private static void await(final Callable<Boolean> condition) throws Exception {
        final long end = System.nanoTime() + MAXIMUM_WAIT_NANOS;
        while (!condition.call()) {
            assertThat(System.nanoTime() - end).as("waited too long").isNegative();
            TimeUnit.MILLISECONDS.sleep(50);
        }
    }

    private void publish(final String... keys) throws Exception {
        final long version = mPlatform.publish(operatorText(keys));
        await(() -> mDaemons.stream().allMatch(d -> d.state().configVersion() >= version));
    }

    private String operatorText(final String... keys) throws Exception {
        final List<String> digests = new ArrayList<>();
        for (final String key : keys) {
            final byte[] digest = MessageDigest.getInstance("SHA-256").digest(key.getBytes());
            digests.add("\"sha256:" + HexFormat.of().formatHex(digest) + "\"");
        }
        final String replica = "\", zone: z1, generation: g3, concurrency: 16}\n";
        final String rest =
                ", dependsOn: [], deadline: 20s, maximumBodyBytes: 65536, objective: {target: 0.9,"
                        + " firstToken: 5s, betweenTokens: 1s, complete: 20s}";
        return "format: 1\nfleet: {name: test, maximumDaemons: 5, claimGroups: 1, clockSkew: 2s,"
                + " opaqueKeyRepeat: 1s, zones: [z1]}\ncustomers:\n  - {id: c1, keyDigests: "
                + digests
                + ", share: 1, maximumConcurrent: 1000, requestsPerSecond: 10000}\n"
                + "upstreams:\n  - id: engines\n    kind: engine\n    checksFencing: true\n"
                + "    checksKeys: false\n    model: m\n    modelVersion: \"1\"\n    replicas:\n"
                + "      - {id: e1, address: \""
                + mEngine.address()
                + replica
                + "  - id: plains\n    kind: plain\n    checksFencing: false\n"
                + "    checksKeys: false\n    replicas:\n      - {id: p1, address: \""
                + mPlainService.address()
                + replica
                + "services:\n  - {id: reply, upstream: engines, tier: urgent, idempotent: true,"
                + " maximumOutputTokens: 60"
                + rest
                + "}\n  - {id: charge, upstream: plains, tier: urgent, idempotent: false"
                + rest
                + "}\nweightStore: {loadsPerMinute: 6}\n";
    }

    @Nested
    class UnderLoad {
        /** Guards against a change of credentials that makes requests of callers fail. */
        @Test
        void noRequestFails() throws Exception {
            final List<Integer> ports = mDaemons.stream().map(Daemon::callerPort).toList();
            final SecureCaller probe = new SecureCaller(ports);
            await(() -> probe.sendCharge("old-key", 0).statusCode() == 200);
            try (CallerLoad load = new CallerLoad(ports, "old-key")) {
                load.awaitRequests();
                installCertificate("caller", "b");
                await(
                        () ->
                                new SecureCaller(ports)
                                        .certificateSubject("old-key")
                                        .contains("daemon b"));
                load.awaitRequests();
                changePeerCertificates();
                load.awaitRequests();
                publish("old-key", "new-key");
                load.useCustomerKey("new-key");
                load.awaitRequests();
                publish("new-key");
                load.awaitRequests();
                assertThat(load.failures()).isEmpty();
            }
            assertThat(probe.sendReply("old-key").statusCode()).isEqualTo(401);
        }

        /**
         * Moves all daemons from the first authority to the second. The daemon that joins after a
         * step connects to all peers only when they use the files of that step.
         */
        private void changePeerCertificates() throws Exception {
            for (int slot = 1; slot <= DAEMONS; slot++) {
                installAuthorities(slot, "a", "b");
            }
            startAnotherDaemon("a", "b");
            for (int slot = 1; slot <= DAEMONS; slot++) {
                installCertificate("peer" + slot, "b");
            }
            startAnotherDaemon("b");
            for (int slot = 1; slot <= DAEMONS; slot++) {
                installAuthorities(slot, "b");
            }
        }

        private void startAnotherDaemon(final String... authorities) throws Exception {
            final int slot = mDaemons.size() + 1;
            installCertificate("peer" + slot, "b");
            installAuthorities(slot, authorities);
            startDaemon(slot);
            await(() -> mDaemons.stream().allMatch(d -> d.state().members().size() == slot));
        }
    }
}
