package io.persimmonreel.daemon.relay;

import static org.assertj.core.api.Assertions.assertThat;

import io.persimmonreel.daemon.upstream.ScriptedUpstream.Exchange;
import io.persimmonreel.daemon.upstream.ScriptedUpstream.Script;
import java.io.IOException;
import java.net.Socket;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class RelayPathTest {
    private static final String ID = "Persimmonreel-Attempt: a1\r\n";

    private static void answer(final Exchange exchange, final int status, final String body)
            throws IOException {
        answer(exchange, status, "", body);
    }

    private static void answer(
            final Exchange exchange, final int status, final String headers, final String body)
            throws IOException {
        exchange.write(
                "HTTP/1.1 "
                        + status
                        + " x\r\nPersimmonreel-Attempt: "
                        + exchange.header("Persimmonreel-Attempt")
                        + "\r\n"
                        + headers
                        + "Content-Length: "
                        + body.length()
                        + "\r\n\r\n"
                        + body);
    }

    private static void startEvents(final Exchange exchange) throws IOException {
        exchange.write(
                "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                        + "Transfer-Encoding: chunked\r\nPersimmonreel-Attempt: a1\r\n\r\n");
    }

    private static void chunk(final Exchange exchange, final String text) throws IOException {
        exchange.write(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
    }

    private static void endEvents(final Exchange exchange) throws IOException {
        exchange.write("0\r\n\r\n");
    }

    private static String event(final int id) {
        return "id: " + id + "\ndata: e" + id + "\n\n";
    }

    private static int runs(final RelayRig rig, final int replicas) {
        int runs = 0;
        for (int i = 0; i < replicas; i++) {
            runs += rig.replica(i).lines().size();
        }
        return runs;
    }

    /** Gives every replica the same scripts, since the choice of the replica is free. */
    private static void script(final RelayRig rig, final int replicas, final Script script) {
        for (int i = 0; i < replicas; i++) {
            rig.replica(i).then(script);
        }
    }

    /** Runs one script for the first request at any replica and another one for all later ones. */
    private static void script(
            final RelayRig rig, final int replicas, final Script first, final Script later) {
        final AtomicBoolean started = new AtomicBoolean();
        script(rig, replicas, e -> (started.getAndSet(true) ? later : first).answer(e));
    }

    /** The answer of a replica comes back as it is, and the key does not reach the replica. */
    @Test
    void returnsTheAnswerUnchanged() throws Exception {
        try (RelayRig rig = new RelayRig(1)) {
            rig.replica(0).then(e -> answer(e, 201, "X-Sign: s\r\n", "hello"));
            final String answer = rig.call("POST", "/charge/7?x=1", ID, "body");
            assertThat(answer).startsWith("HTTP/1.1 201").contains("X-Sign: s").endsWith("hello");
            final String head = rig.replica(0).heads().get(0);
            assertThat(head)
                    .startsWith("POST /charge/7?x=1 HTTP/1.1")
                    .contains("Persimmonreel-Customer: acme", "Persimmonreel-Replica: r0")
                    .doesNotContain(RelayRig.KEY);
        }
    }

    /** Guards against answers to another attempt: a late second answer precedes the own one. */
    @Test
    void skipsAnAnswerToAnotherAttempt() throws Exception {
        try (RelayRig rig = new RelayRig(1)) {
            rig.replica(0)
                    .then(
                            e -> {
                                e.write(
                                        "HTTP/1.1 200 OK\r\nPersimmonreel-Attempt: other\r\n"
                                                + "Content-Length: 5\r\n\r\nwrong");
                                answer(e, 200, "right");
                            });
            assertThat(rig.call("GET", "/lookup/1", ID, "")).endsWith("right");
        }
    }

    /** Guards against bytes after a whole answer being taken for the next answer. */
    @Test
    void dropsAConnectionWithExtraBytes() throws Exception {
        try (RelayRig rig = new RelayRig(1)) {
            rig.replica(0)
                    .then(
                            e -> {
                                answer(e, 200, "first");
                                e.write("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra");
                            })
                    .then(e -> answer(e, 200, "second"));
            assertThat(rig.call("GET", "/lookup/1", ID, "")).endsWith("first");
            assertThat(rig.call("GET", "/lookup/2", ID, "")).endsWith("second");
        }
    }

    /** An answer to HEAD states the length of a body that does not follow. */
    @Test
    void endsAnswersToHeadWithTheirHead() throws Exception {
        try (RelayRig rig = new RelayRig(1)) {
            rig.replica(0)
                    .then(
                            e ->
                                    e.write(
                                            "HTTP/1.1 200 OK\r\nPersimmonreel-Attempt: a1\r\n"
                                                    + "Content-Length: 10\r\n\r\n"));
            assertThat(rig.call("HEAD", "/lookup/1", ID, ""))
                    .startsWith("HTTP/1.1 200")
                    .containsIgnoringCase("content-length: 10")
                    .endsWith("\r\n\r\n");
        }
    }

    @Nested
    class AtMostOnce {
        /** A broken connection does not show that the request has not run. */
        @Test
        void isNotSentAgainAfterABreak() throws Exception {
            try (RelayRig rig = new RelayRig(2)) {
                script(rig, 2, e -> e.socket().close());
                script(rig, 2, e -> answer(e, 200, "again"));
                assertThat(rig.call("POST", "/charge/1", ID, "x")).startsWith("HTTP/1.1 502");
                assertThat(runs(rig, 2)).isEqualTo(1);
            }
        }

        /** The replica's word that it did not run the request allows another replica. */
        @Test
        void isSentAgainIfItDidNotRun() throws Exception {
            try (RelayRig rig = new RelayRig(2)) {
                script(
                        rig,
                        2,
                        e -> answer(e, 503, "Persimmonreel-Not-Run: 1\r\n", ""),
                        e -> answer(e, 200, "ran"));
                assertThat(rig.call("POST", "/charge/1", ID, "x")).endsWith("ran");
            }
        }

        /** A caller reads 503 as a promise, so a replica's 503 without that word becomes 502. */
        @Test
        void hidesA503ThatPromisesNothing() throws Exception {
            try (RelayRig rig = new RelayRig(1)) {
                rig.replica(0).then(e -> answer(e, 503, "maybe"));
                assertThat(rig.call("POST", "/charge/1", ID, "x")).startsWith("HTTP/1.1 502");
            }
        }

        /** An answer that breaks off must not look whole. */
        @Test
        void failsIfTheAnswerIsCut() throws Exception {
            try (RelayRig rig = new RelayRig(1)) {
                rig.replica(0)
                        .then(
                                e -> {
                                    e.write(
                                            "HTTP/1.1 200 OK\r\nPersimmonreel-Attempt: a1\r\n"
                                                    + "Content-Length: 10\r\n\r\nhalf");
                                    e.socket().close();
                                });
                assertThat(rig.call("POST", "/charge/1", ID, "x")).startsWith("HTTP/1.1 502");
            }
        }

        /** An answer without length that ends by a reset is not whole; one that ends is. */
        @Test
        void takesAnAnswerWithoutLengthOnlyIfItEnds() throws Exception {
            try (RelayRig rig = new RelayRig(1)) {
                final String head = "HTTP/1.1 200 OK\r\nPersimmonreel-Attempt: a1\r\n\r\n";
                rig.replica(0)
                        .then(
                                e -> {
                                    e.write(head + "whole");
                                    e.socket().close();
                                })
                        .then(
                                e -> {
                                    e.write(head + "cut");
                                    TimeUnit.MILLISECONDS.sleep(100);
                                    e.socket().setSoLinger(true, 0);
                                    e.socket().close();
                                });
                assertThat(rig.call("POST", "/charge/1", ID, "x")).endsWith("whole");
                assertThat(rig.call("POST", "/charge/1", ID, "x")).startsWith("HTTP/1.1 502");
            }
        }

        /** A head that lost its fields in a crash reads as a whole answer without a body. */
        @Test
        void failsIfTheAnswerDoesNotNameTheAttempt() throws Exception {
            try (RelayRig rig = new RelayRig(1)) {
                rig.replica(0)
                        .then(
                                e -> {
                                    e.write("HTTP/1.1 200 OK\r\n\r\n");
                                    e.socket().close();
                                });
                assertThat(rig.call("POST", "/charge/1", ID, "x")).startsWith("HTTP/1.1 502");
            }
        }

        /** A replica may answer before it read a long body; the rest is not read as a request. */
        @Test
        void doesNotReuseAConnectionThatWasAnsweredEarly() throws Exception {
            try (RelayRig rig = new RelayRig(1)) {
                rig.replica(0).then(e -> answer(e, 413, "early")).then(e -> answer(e, 200, "next"));
                assertThat(rig.call("POST", "/charge/1", ID, "b".repeat(60_000)))
                        .startsWith("HTTP/1.1 413");
                assertThat(rig.call("POST", "/charge/2", ID, "x")).endsWith("next");
            }
        }
    }

    @Nested
    class Idempotent {
        /** A reset lets the request run on another replica. */
        @Test
        void isSentAgainAfterABreak() throws Exception {
            try (RelayRig rig = new RelayRig(2)) {
                script(rig, 2, e -> e.socket().close(), e -> answer(e, 200, "again"));
                assertThat(rig.call("GET", "/lookup/1", ID, "")).endsWith("again");
                RelayRig.await(() -> rig.log().contains("\"event\":\"resent\""));
            }
        }

        /** A replica that is silent does not hold the request until its deadline. */
        @Test
        void isSentAgainAfterSilence() throws Exception {
            try (RelayRig rig = new RelayRig(2)) {
                script(rig, 2, e -> e.awaitClose(), e -> answer(e, 200, "again"));
                assertThat(rig.call("GET", "/lookup/1", ID, "")).endsWith("again");
            }
        }
    }

    @Nested
    class Streams {
        /** A stream that breaks inside an event goes on after the last whole one. */
        @Test
        void areResumedAfterTheLastWholeEvent() throws Exception {
            try (RelayRig rig = new RelayRig(2)) {
                script(
                        rig,
                        2,
                        e -> {
                            startEvents(e);
                            chunk(e, event(1) + event(2) + "id: 3\nda");
                            e.socket().close();
                        },
                        e -> {
                            startEvents(e);
                            assertThat(e.header("Last-Event-ID")).isEqualTo("2");
                            chunk(e, event(2) + event(3));
                            endEvents(e);
                        });
                final String answer = rig.call("POST", "/draft/1", ID, "x");
                assertThat(answer)
                        .containsOnlyOnce(event(1))
                        .containsOnlyOnce(event(2))
                        .containsOnlyOnce(event(3))
                        .endsWith("0\r\n\r\n");
            }
        }

        /** A stream that can't be resumed breaks off and does not look whole. */
        @Test
        void breakOffIfTheyCantBeResumed() throws Exception {
            try (RelayRig rig = new RelayRig(2)) {
                script(
                        rig,
                        2,
                        e -> {
                            startEvents(e);
                            chunk(e, event(1));
                            e.socket().close();
                        });
                final String answer = rig.call("POST", "/notes/1", ID, "x");
                assertThat(answer).contains(event(1)).doesNotContain("0\r\n\r\n");
                assertThat(runs(rig, 2)).isEqualTo(1);
            }
        }

        /** A caller that leaves in the middle of a stream ends the work at the replica. */
        @Test
        void endAtTheReplicaWhenTheCallerLeaves() throws Exception {
            try (RelayRig rig = new RelayRig(1)) {
                final CompletableFuture<Void> closed = new CompletableFuture<>();
                rig.replica(0)
                        .then(
                                e -> {
                                    startEvents(e);
                                    chunk(e, event(1));
                                    e.awaitClose();
                                    closed.complete(null);
                                });
                try (Socket socket = rig.connect()) {
                    RelayRig.send(socket, "POST", "/draft/1", ID, "x");
                    RelayRig.readUntil(socket, event(1));
                }
                closed.get(5, TimeUnit.SECONDS);
            }
        }
    }

    /** A caller with a little less patience than others did not return; it is not late yet. */
    @Nested
    class Deadlines {
        @Test
        void doNotMakeImpatientCallersLate() {
            assertThat(CallerPatience.waitedBefore(12_000, 10_000)).isZero();
            assertThat(CallerPatience.waitedBefore(12_000, 12_000)).isZero();
        }

        @Test
        void showCallersThatReturned() {
            assertThat(CallerPatience.waitedBefore(12_000, 8_000)).isEqualTo(4_000);
        }
    }

    @Nested
    class Refusals {
        @Test
        void nameTheReason() throws Exception {
            try (RelayRig rig = new RelayRig(1)) {
                assertThat(rig.call("GET", "/none/", ID, "")).startsWith("HTTP/1.1 404");
                try (Socket socket = rig.connect()) {
                    socket.getOutputStream()
                            .write(
                                    "GET /lookup/1 HTTP/1.1\r\nHost: acme.example\r\n\r\n"
                                            .getBytes());
                    assertThat(RelayRig.readUntil(socket, "\r\n")).contains("401");
                }
                final String large = "X-Large: " + "a".repeat(5_000) + "\r\n";
                assertThat(rig.call("GET", "/lookup/1", large, "")).startsWith("HTTP/1.1 431");
                assertThat(rig.call("POST", "/lookup/1", ID, "b".repeat(70_000)))
                        .startsWith("HTTP/1.1 413");
                assertThat(runs(rig, 1)).isZero();
            }
        }

        /** Two framings of one body would let a request hide inside the body of another one. */
        @Test
        void areNotNeededForTwoFramingsOfOneBody() throws Exception {
            try (RelayRig rig = new RelayRig(1)) {
                rig.replica(0).then(e -> answer(e, 200, e.body()));
                final String both = ID + "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n";
                try (Socket socket = rig.connect()) {
                    RelayRig.send(socket, "POST", "/charge/1", both, "");
                    socket.getOutputStream().write("3\r\nabc\r\n0\r\n\r\n".getBytes());
                    assertThat(RelayRig.readUntil(socket, "abc")).contains("200");
                }
                assertThat(rig.replica(0).heads().get(0))
                        .contains("content-length: 3")
                        .doesNotContainIgnoringCase("transfer-encoding");
                assertThat(runs(rig, 1)).isEqualTo(1);
            }
        }

        /** A body that ends early never reaches a replica. */
        @Test
        void meetBodiesThatEndEarly() throws Exception {
            try (RelayRig rig = new RelayRig(1)) {
                try (Socket socket = rig.connect()) {
                    RelayRig.send(socket, "POST", "/charge/1", ID + "Content-Length: 50\r\n", "");
                    socket.getOutputStream().write(new byte[10]);
                    socket.shutdownOutput();
                    assertThat(socket.getInputStream().read()).isEqualTo(-1);
                }
                rig.replica(0).then(e -> answer(e, 200, "ok"));
                assertThat(rig.call("GET", "/lookup/1", ID, "")).endsWith("ok");
                assertThat(runs(rig, 1)).isEqualTo(1);
            }
        }
    }

    @Nested
    class Leaving {
        /** A request in progress ends whole, and its connection closes after the answer. */
        @Test
        void finishesRequestsInProgress() throws Exception {
            try (RelayRig rig = new RelayRig(1)) {
                final CountDownLatch received = new CountDownLatch(1);
                final CountDownLatch leaving = new CountDownLatch(1);
                rig.replica(0)
                        .then(
                                e -> {
                                    received.countDown();
                                    leaving.await();
                                    answer(e, 200, "whole");
                                });
                try (Socket socket = rig.connect()) {
                    RelayRig.send(socket, "POST", "/charge/1", ID, "x");
                    received.await();
                    final Thread stopping = stop(rig);
                    RelayRig.await(() -> rig.log().contains("\"event\":\"leaving\""));
                    leaving.countDown();
                    final String answer = new String(socket.getInputStream().readAllBytes());
                    assertThat(answer.toLowerCase(java.util.Locale.ROOT))
                            .contains("connection: close")
                            .endsWith("whole");
                    stopping.join();
                }
            }
        }

        /** A request that can't end before the process is refused as not run, not cut off. */
        @Test
        void refusesWhatCantEndInTime() throws Exception {
            try (RelayRig rig = new RelayRig(1, Duration.ofMillis(500))) {
                final Thread stopping = stop(rig);
                RelayRig.await(() -> rig.log().contains("\"event\":\"leaving\""));
                assertThat(rig.call("POST", "/charge/1", ID, "x")).startsWith("HTTP/1.1 503");
                assertThat(runs(rig, 1)).isZero();
                stopping.join();
            }
        }

        private Thread stop(final RelayRig rig) {
            final Thread thread =
                    new Thread(
                            () -> {
                                try {
                                    rig.daemon().stop();
                                } catch (final InterruptedException e) {
                                    Thread.currentThread().interrupt();
                                }
                            });
            thread.start();
            return thread;
        }
    }
}
