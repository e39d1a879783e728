import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients send two requests that may repeat and then one that must not, on a kept connection and without
 * waiting for the answers in between. The store is down for a while; the entries of the replicas run out
 * meanwhile and come back within two seconds, those of one service before those of the other.
 */
public final class Pipelined {
    private static final int CLIENTS = 12;
    private static final int BATCH_MILLIS = 600;
    private static final int LOOKUP_TIMEOUT_MILLIS = 200;
    private static final int TIMEOUT_MILLIS = 1_200;
    private static final int AIM_MILLIS = 150;
    private static final int DEADLINE_MILLIS = 2_500;
    private static final int LATE_MILLIS = 500;
    private static final int ROUNDS = 3;
    private static final int CALM_MILLIS = 5_000;
    private static final int OUTAGE_MILLIS = 4_500;
    private static final int FIRST_BACK_MILLIS = 300;
    private static final int LAST_BACK_MILLIS = 1_900;
    private static final int MUTE_REQUESTS = 10;

    private static final Map<String, Integer> ENDS = new ConcurrentSkipListMap<>();
    private static final AtomicInteger FOREIGN = new AtomicInteger();
    private static final AtomicInteger REFUSED_AND_RUN = new AtomicInteger();
    private static final AtomicInteger LATE = new AtomicInteger();
    private static final List<SoundReplica> REPLICAS = new ArrayList<>();
    private static volatile boolean sEnded;

    private Pipelined() {}

    public static void main(final String[] arguments) throws Exception {
        final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        try (Record record = new Record(Path.of(arguments[0]));
                Deployment deployment = new Deployment(1)) {
            deployment.configure(
                    1,
                    "[" + Deployment.route("lookup", "/lookup/", "idempotent", LOOKUP_TIMEOUT_MILLIS, AIM_MILLIS, "app", 2)
                            + "," + Deployment.route("price", "/price/", "idempotent", TIMEOUT_MILLIS, AIM_MILLIS, "api", 2)
                            + "," + Deployment.route("charge", "/charge/", "non_idempotent", TIMEOUT_MILLIS, AIM_MILLIS, "api", 1)
                            + "]",
                    "[" + Deployment.backend("app") + "," + Deployment.backend("api") + "]",
                    "[]");
            for (final String service : List.of("app", "api")) {
                for (int i = 0; i < 3; i++) {
                    REPLICAS.add(new SoundReplica(service + "-" + i, 43, 6, record));
                }
            }
            register(deployment, "app");
            register(deployment, "api");
            if (!deployment.start()) {
                record.line("the relay did not get ready");
                System.exit(2);
            }
            final int port = deployment.relay(0).callerPort();
            final List<Thread> clients = new ArrayList<>();
            for (int i = 0; i < CLIENTS; i++) {
                final int number = i;
                clients.add(new Thread(() -> run(port, number, record)));
                clients.get(i).start();
            }
            Thread.sleep(CALM_MILLIS);
            for (int round = 0; round < ROUNDS; round++) {
                if (trouble) {
                    outage(deployment, record);
                }
                Thread.sleep(CALM_MILLIS);
            }
            sEnded = true;
            for (final Thread thread : clients) {
                thread.join();
            }
            mute(port, record);
            record.line("requests ended: %s", ENDS);
            record.line("%d answers belonged to another request", FOREIGN.get());
            record.line("%d requests that must not repeat were answered 503 and ran", REFUSED_AND_RUN.get());
            record.line(
                    "%d of %d requests at mute replicas had no answer half a second after their time-out",
                    LATE.get(), MUTE_REQUESTS);
            record.line(
                    "the relay is alive: %s, ready: %s",
                    deployment.relay(0).isAlive(), deployment.relay(0).isReady());
            record.line(
                    "errors in the relay's log: %d",
                    deployment.relay(0).output().lines().filter(l -> l.contains("NullPointerException")).count());
        }
        System.exit(FOREIGN.get() + REFUSED_AND_RUN.get() > 0 || 2 * LATE.get() > MUTE_REQUESTS ? 1 : 0);
    }

    private static void register(final Deployment deployment, final String service) {
        for (int i = 0; i < REPLICAS.size(); i++) {
            final String id = service + "-" + i % 3;
            if (i / 3 == (service.equals("app") ? 0 : 1)) {
                deployment.register(id, service, REPLICAS.get(i).port(), 6);
            }
        }
    }

    /** Takes the store down until the entries have run out, and lets the replicas write them again. */
    private static void outage(final Deployment deployment, final Record record) throws InterruptedException {
        record.line("the store is down: it cuts connections");
        deployment.store().setDown(true);
        Thread.sleep(OUTAGE_MILLIS);
        for (final String service : List.of("app", "api")) {
            for (int i = 0; i < 3; i++) {
                deployment.store().delete("servers/" + service + "-" + i);
            }
        }
        deployment.store().setDown(false);
        record.line("the store is back, the entries of the replicas have run out");
        Thread.sleep(FIRST_BACK_MILLIS);
        register(deployment, "api");
        record.line("the entries of api are back");
        Thread.sleep(LAST_BACK_MILLIS - FIRST_BACK_MILLIS);
        register(deployment, "app");
        record.line("the entries of app are back");
    }

    private static void run(final int port, final int number, final Record record) {
        final Random random = new Random(number);
        Socket socket = null;
        InputStream in = null;
        try {
            for (int i = 0; !sEnded; i++) {
                Thread.sleep(BATCH_MILLIS / 2 + random.nextInt(BATCH_MILLIS));
                if (socket == null) {
                    socket = new Socket("127.0.0.1", port);
                    socket.setSoTimeout(DEADLINE_MILLIS);
                    in = new BufferedInputStream(socket.getInputStream());
                }
                if (!batch(socket, in, number + "-" + i, record)) {
                    socket.close();
                    socket = null;
                }
            }
            if (socket != null) {
                socket.close();
            }
        } catch (final IOException | InterruptedException e) {
            record.line("client %d: %s", number, e);
        }
    }

    /** Returns whether the connection may be used for the next requests. */
    private static boolean batch(
            final Socket socket, final InputStream in, final String suffix, final Record record)
            throws InterruptedException {
        final String[] attempts = {"l" + suffix, "p" + suffix, "c" + suffix};
        boolean reusable = true;
        try {
            final ByteArrayOutputStream out = new ByteArrayOutputStream();
            out.write(request("GET /lookup/17", attempts[0]));
            out.write(request("GET /price/wash", attempts[1]));
            out.write(request("POST /charge/token", attempts[2]));
            socket.getOutputStream().write(out.toByteArray());
        } catch (final IOException e) {
            return false;
        }
        for (final String attempt : attempts) {
            String end;
            boolean refused = false;
            try {
                final Http.Answer answer = reusable ? Http.readAnswer(in) : null;
                if (answer == null) {
                    end = "closed";
                    reusable = false;
                } else {
                    end = Integer.toString(answer.head().status());
                    refused = answer.head().status() == 503;
                    if (answer.head().status() == 200
                            && !Arrays.equals(answer.body(), SoundReplica.answer(attempt))) {
                        FOREIGN.incrementAndGet();
                        end = "200, the answer of " + answer.head().field("Attempt-Id");
                    }
                    reusable = !"close".equalsIgnoreCase(answer.head().field("Connection"));
                }
            } catch (final IOException e) {
                end = e.toString();
                reusable = false;
            }
            if (refused && attempt.startsWith("c")) {
                Thread.sleep(LATE_MILLIS);
                if (REPLICAS.stream().anyMatch(replica -> replica.runs().containsKey(attempt))) {
                    REFUSED_AND_RUN.incrementAndGet();
                    end += ", and it ran";
                }
            }
            ENDS.merge(attempt.charAt(0) + " " + end.split(" of ")[0], 1, Integer::sum);
            record.line("%s: %s", attempt, end);
        }
        return reusable;
    }

    private static byte[] request(final String target, final String attempt) {
        return (target + " HTTP/1.1\r\nHost: " + Deployment.HOST + "\r\nAttempt-Id: " + attempt
                        + "\r\nDeadline-Ms: " + DEADLINE_MILLIS + "\r\nContent-Length: 0\r\n\r\n")
                .getBytes(StandardCharsets.US_ASCII);
    }

    /** Sends requests, one on each connection, to replicas that run them and do not answer. */
    private static void mute(final int port, final Record record) throws InterruptedException {
        final List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < MUTE_REQUESTS; i++) {
            final String attempt = "m" + i;
            final Thread thread =
                    new Thread(
                            () -> {
                                final long start = System.nanoTime();
                                String end;
                                try (Client client = new Client(port, DEADLINE_MILLIS)) {
                                    final Http.Answer answer =
                                            client.call("/charge/mute", attempt, DEADLINE_MILLIS, new byte[0]);
                                    end = answer == null ? "closed" : answer.head().line();
                                } catch (final IOException e) {
                                    end = e.toString();
                                }
                                final long millis = (System.nanoTime() - start) / 1_000_000;
                                LATE.addAndGet(millis > TIMEOUT_MILLIS + LATE_MILLIS ? 1 : 0);
                                record.line("%s: %s after %d ms", attempt, end, millis);
                            });
            thread.start();
            threads.add(thread);
        }
        for (final Thread thread : threads) {
            thread.join();
        }
    }
}
