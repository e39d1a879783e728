package io.persimmonreel.daemon.http;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.persimmonreel.core.config.Configuration;
import io.persimmonreel.core.customer.CustomerDirectory;
import io.persimmonreel.core.customer.CustomerSpec;
import io.persimmonreel.daemon.request.RequestCoordinatorFixture;
import io.persimmonreel.daemon.upstream.ScriptedUpstream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.atomic.AtomicLong;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.lifecycle.AfterProperty;
import net.jqwik.api.lifecycle.BeforeProperty;

/** Guards against inputs that hang a connection, leak requests in progress or stop the server. */
class CallerServerFuzzTest {
    private static final int ANSWER_TIMEOUT_MILLIS = 20_000;

    /** An incomplete request gets no answer; after this silence the test ends its side. */
    private static final int SILENCE_MILLIS = 40;

    /** Pools start some threads late; a leak of one thread per input would be far more. */
    private static final int THREAD_ALLOWANCE = 40;

    private static final List<String> METHODS =
            List.of("POST", "GET", "PUT", "HEAD", "OPTIONS", "TRACE", "post", "P\u0001ST", "");

    private static final List<String> PATHS =
            List.of(
                    "/v1/services/draft/requests",
                    "/v1/services/charge/requests",
                    "/v1/services/none/requests",
                    "/v1/services/%00/requests",
                    "/v1/services/%zz/requests",
                    "/v1/services//requests",
                    "/v1/keys",
                    "//..//",
                    "*",
                    "http://[/",
                    "/" + "a".repeat(5000));

    private static final List<String> HEADERS =
            List.of(
                    "Idempotency-Key: key-0001",
                    "Idempotency-Key: k",
                    "Idempotency-Key: " + "k".repeat(300),
                    "Idempotency-Key: \u00e9\u0001key-0001",
                    "Persimmonreel-Tier: bulk",
                    "Persimmonreel-Tier: none",
                    "Persimmonreel-Deadline: 1",
                    "Persimmonreel-Deadline: 9999999999",
                    "Persimmonreel-Deadline: -99999999999999999999",
                    "Persimmonreel-Parent: q1",
                    "Accept: text/event-stream",
                    "Accept: \u0000",
                    "Authorization: Basic x",
                    "Expect: 100-continue",
                    "Expect: other",
                    "Content-Encoding: gzip",
                    "Content-Type: ;;=",
                    "Connection: close",
                    "Upgrade: websocket",
                    "Transfer-Encoding: chunked",
                    "Content-Length: -1",
                    "Content-Length: 99999999999999999999",
                    "Content-Length: 1",
                    "Content-Length: 5000",
                    "X: " + "x".repeat(20_000),
                    ": no name",
                    "no colon",
                    " folded");

    private static final List<String> BODIES =
            List.of(
                    "{\"prompt\":\"p\"}",
                    "{\"prompt\":\"p\",\"maxOutputTokens\":2}",
                    "{\"prompt\":\"p\",\"maxOutputTokens\":1e999}",
                    "{\"prompt\":\"p\",\"prefix\":[]}",
                    "{\"prompt\":",
                    "{\"prompt\":\"\\ud800\"}",
                    "[".repeat(900),
                    "null",
                    "{}{}",
                    "",
                    "\u0000\u00ff",
                    "x".repeat(3000));

    private final ObjectMapper mMapper = new ObjectMapper();
    private final AtomicLong mIds = new AtomicLong();
    private final CustomerDirectory mCustomers =
            new CustomerDirectory(RequestCoordinatorFixture.time());
    private ScriptedUpstream mUpstream;
    private RequestCoordinatorFixture mFixture;
    private CallerServer mServer;
    private int mInitialThreads;
    private int mTriedInputs;
    private int mFailedInputs;
    private int mAnsweredInputs;

    @BeforeProperty
    void start() throws Exception {
        mUpstream = new ScriptedUpstream();
        mFixture = new RequestCoordinatorFixture(mUpstream.replica("r1"));
        final Configuration base = mFixture.configuration;
        final CustomerSpec customer = base.customers().get("c1");
        mCustomers.onConfiguration(
                new Configuration(
                        base.version(),
                        base.digest(),
                        base.text(),
                        base.fleet(),
                        Map.of("c1", new CustomerSpec("c1", customer.keyDigests(), 1, 10, 1e6)),
                        base.upstreams(),
                        base.services(),
                        base.loadsPerMinute()));
        final CallerParts parts =
                new CallerParts(
                        mFixture.coordinator,
                        () -> Optional.of(base),
                        List::of,
                        mCustomers,
                        () -> "q" + mIds.incrementAndGet(),
                        () -> "pr1.key",
                        record -> {},
                        (service, type) -> {},
                        RequestCoordinatorFixture.time());
        mServer =
                new CallerServer(
                        new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                        Optional.empty(),
                        parts);
        sendValidRequest();
        mInitialThreads = Thread.activeCount();
    }

    @AfterProperty
    void stop() throws Exception {
        System.out.printf(
                "caller fuzz: %d inputs tried, %d answered, %d failures, threads %d before and %d"
                        + " after%n",
                mTriedInputs,
                mAnsweredInputs,
                mFailedInputs,
                mInitialThreads,
                Thread.activeCount());
        final int threads = Thread.activeCount();
        mServer.close();
        mFixture.close();
        mUpstream.close();
        assertThat(threads).isLessThan(mInitialThreads + THREAD_ALLOWANCE);
    }

    @Property(seed = "20261204", tries = 400, shrinking = ShrinkingMode.OFF)
    void anyInputIsAnsweredOrClosed(@ForAll final long seed) throws Exception {
        mTriedInputs++;
        mFailedInputs++;
        final String input = randomInput(new Random(seed));
        // A closed scheduler keeps requests queued; they are cancelled when the connection closes.
        mFixture.scheduler.setOpen(false);
        final String received = exchange(input);
        if (!received.isEmpty()) {
            mAnsweredInputs++;
            checkAnswer(received);
        }
        RequestCoordinatorFixture.await(() -> mFixture.coordinator.inProgress() == 0);
        RequestCoordinatorFixture.await(() -> mCustomers.inProgress("c1") == 0);
        mFixture.scheduler.setOpen(true);
        sendValidRequest();
        mFailedInputs--;
    }

    private static String randomInput(final Random random) {
        final String body = pick(BODIES, random);
        final StringBuilder text = new StringBuilder();
        text.append(random.nextInt(3) == 0 ? pick(METHODS, random) : "POST").append(' ');
        text.append(random.nextInt(3) == 0 ? pick(PATHS, random) : PATHS.get(random.nextInt(2)));
        text.append(random.nextInt(20) == 0 ? " HTTP/9.x\r\n" : " HTTP/1.1\r\nHost: h\r\n");
        if (random.nextInt(10) > 0) {
            text.append("Authorization: Bearer secret-1\r\n");
        }
        for (int i = random.nextInt(4); i > 0; i--) {
            text.append(pick(HEADERS, random)).append("\r\n");
        }
        if (random.nextInt(3) == 0) {
            text.append("Transfer-Encoding: chunked\r\n\r\n");
            final int size = body.length() + (random.nextInt(4) == 0 ? random.nextInt(9) - 4 : 0);
            text.append(Integer.toHexString(size)).append("\r\n").append(body);
            text.append(random.nextInt(4) == 0 ? "\r\nzz\r\n" : "\r\n0\r\n\r\n");
        } else {
            final int size = body.length() + (random.nextInt(5) == 0 ? random.nextInt(9) - 4 : 0);
            text.append("Content-Length: ").append(size).append("\r\n\r\n").append(body);
        }
        if (random.nextInt(6) == 0) {
            text.setLength(random.nextInt(text.length()) + 1);
        }
        for (int i = random.nextInt(8) - 5; i > 0; i--) {
            text.setCharAt(random.nextInt(text.length()), (char) random.nextInt(256));
        }
        return text.toString();
    }

    private static String pick(final List<String> list, final Random random) {
        return list.get(random.nextInt(list.size()));
    }

    /** Sends an input and returns all that is received until the connection ends. */
    private String exchange(final String input) throws IOException {
        final StringBuilder received = new StringBuilder();
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), mServer.port())) {
            socket.setSoTimeout(SILENCE_MILLIS);
            boolean outputOpen = true;
            socket.getOutputStream().write(input.getBytes(StandardCharsets.ISO_8859_1));
            final InputStream in = socket.getInputStream();
            final byte[] buffer = new byte[8192];
            while (true) {
                try {
                    final int count = in.read(buffer);
                    if (count < 0) {
                        return received.toString();
                    }
                    received.append(new String(buffer, 0, count, StandardCharsets.ISO_8859_1));
                } catch (final SocketTimeoutException e) {
                    assertThat(outputOpen)
                            .as("the server closes the connection within the limit")
                            .isTrue();
                    outputOpen = false;
                    socket.shutdownOutput();
                    socket.setSoTimeout(ANSWER_TIMEOUT_MILLIS);
                }
            }
        } catch (final SocketTimeoutException e) {
            throw e;
        } catch (final IOException e) {
            // The server may reset a connection whose input it has not read to the end.
            return received.toString();
        }
    }

    private void checkAnswer(final String received) throws IOException {
        final int end = received.indexOf("\r\n\r\n");
        assertThat(received).startsWith("HTTP/1.1 ");
        assertThat(end).isPositive();
        final int status = Integer.parseInt(received.substring(9, 12));
        final String head = received.substring(0, end).toLowerCase(java.util.Locale.ROOT);
        final String body = received.substring(end + 4);
        if (status >= 400 && !body.isEmpty()) {
            assertThat(head).contains("content-type: application/problem+json");
            final JsonNode problem = mMapper.readTree(body);
            assertThat(problem.path("status").asInt()).isEqualTo(status);
            assertThat(problem.path("outcome").asText()).isIn("not-run", "ran", "may-have-run");
        }
    }

    private void sendValidRequest() throws Exception {
        mUpstream.addScript(
                exchange -> {
                    final String id = mMapper.readTree(exchange.body()).get("streamId").asText();
                    exchange.startEventStream();
                    exchange.sendToken(id, 0, "a");
                    exchange.sendEnd(id, 1);
                });
        final String body = BODIES.get(0);
        final String request =
                "POST "
                        + PATHS.get(0)
                        + " HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
                        + "Authorization: Bearer secret-1\r\nContent-Length: "
                        + body.length()
                        + "\r\n\r\n"
                        + body;
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), mServer.port())) {
            socket.setSoTimeout(ANSWER_TIMEOUT_MILLIS);
            socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            final String answer =
                    new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
            assertThat(answer).startsWith("HTTP/1.1 200").contains("\"text\":\"a\"");
        }
        RequestCoordinatorFixture.await(() -> mCustomers.inProgress("c1") == 0);
    }
}
