package io.persimmonreel.daemon.relay;

import io.persimmonreel.daemon.upstream.ScriptedUpstream.Exchange;
import io.persimmonreel.daemon.upstream.ScriptedUpstream.Script;
import java.io.IOException;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.regex.Pattern;

/** Writes the responses of scripted replicas to requests with the attempt id "a1". */
final class ReplicaScripts {
    static final String ATTEMPT_HEADER = "Persimmonreel-Attempt: a1\r\n";

    private static final Pattern CRASH = Pattern.compile("\"event\":\"crashed\"");

    private ReplicaScripts() {}

    static void respond(final Exchange exchange, final int status, final String body)
            throws IOException {
        respond(exchange, status, "", body);
    }

    static void respond(
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

    static void startStream(final Exchange exchange) throws IOException {
        exchange.write(
                "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                        + "Transfer-Encoding: chunked\r\nPersimmonreel-Attempt: a1\r\n\r\n");
    }

    static void writeChunk(final Exchange exchange, final String text) throws IOException {
        exchange.write(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
    }

    static void endStream(final Exchange exchange) throws IOException {
        exchange.write("0\r\n\r\n");
    }

    static String event(final int id) {
        return "id: " + id + "\ndata: e" + id + "\n\n";
    }

    static int runCount(final RelayFixture relay, final int replicas) {
        int runCount = 0;
        for (int i = 0; i < replicas; i++) {
            runCount += relay.replica(i).requestLines().size();
        }
        return runCount;
    }

    /** Waits until the relay has logged a number of crashes of replicas. */
    static void awaitCrashes(final RelayFixture relay, final int crashes)
            throws InterruptedException {
        RelayFixture.await(() -> CRASH.matcher(relay.log()).results().count() == crashes);
    }

    /** Gives every replica the same script, since the relay may choose any replica. */
    static void scriptAll(final RelayFixture relay, final int replicas, final Script script) {
        for (int i = 0; i < replicas; i++) {
            relay.replica(i).addScript(script);
        }
    }

    /** Runs one script for the first request at any replica and another one for a later request. */
    static void scriptAll(
            final RelayFixture relay, final int replicas, final Script first, final Script later) {
        final AtomicBoolean started = new AtomicBoolean();
        scriptAll(relay, replicas, e -> (started.getAndSet(true) ? later : first).answer(e));
    }
}
