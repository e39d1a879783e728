import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Faulty replicas truncate a few of their answers at a random place and send the whole answer
 * after that. No client may get a success whose body is not the whole body of the replica.
 */
final class Truncated {
    private static final int REPLICAS = 3;
    private static final int CLIENTS = 30;
    private static final int RUN_MILLIS = 5;
    private static final int LOAD_MILLIS = 80_000;
    private static final int READ_MILLIS = 5_000;

    /** The largest dose of the site file: three in five replicas, three in a hundred answers. */
    private static final int FAULTY_REPLICAS = (int) (0.6 * REPLICAS);

    private static final double TRUNCATED_SHARE = 0.03;

    /** The sizes of answers on the users' sheet, in bytes. */
    private static final int MEAN_BODY_BYTES = 800;

    private static volatile boolean sStopped;

    private Truncated() {}

    public static void main(final String[] arguments) throws Exception {
        int code = Lab.COULD_NOT_RUN;
        try (Lab lab = new Lab()) {
            code = run(lab);
        } catch (final IOException e) {
            System.out.println("could not run: " + e);
        }
        System.exit(code);
    }

    /** Returns the body of an answer, which depends on the id only. */
    private static String body(final String id) {
        final Random random = new Random(id.hashCode());
        final int size = MEAN_BODY_BYTES / 2 + random.nextInt(MEAN_BODY_BYTES);
        final StringBuilder body = new StringBuilder("charge " + id + " ");
        while (body.length() < size) {
            body.append((char) ('a' + random.nextInt(26)));
        }
        return body.toString();
    }

    private static int run(final Lab lab) throws Exception {
        final AtomicInteger truncated = new AtomicInteger();
        final Map<String, Integer> missing = new ConcurrentHashMap<>();
        for (int i = 0; i < REPLICAS; i++) {
            final boolean faulty = Lab.TROUBLE && i < FAULTY_REPLICAS;
            lab.replica(
                            "i-" + i,
                            "app",
                            "v1",
                            6,
                            (replica, request, in, out) -> {
                                Lab.readBody(in, request.mHeaders);
                                Lab.sleep(RUN_MILLIS);
                                final byte[] whole = Lab.answer(request, body(request.id()));
                                final ThreadLocalRandom random = ThreadLocalRandom.current();
                                if (!faulty || random.nextDouble() >= TRUNCATED_SHARE) {
                                    out.write(whole);
                                    return true;
                                }
                                final int left = 1 + random.nextInt(body(request.id()).length());
                                final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
                                bytes.write(whole, 0, whole.length - left);
                                bytes.write(whole);
                                missing.put(request.id(), left);
                                truncated.incrementAndGet();
                                out.write(bytes.toByteArray());
                                return true;
                            })
                    .announce("ready");
        }
        lab.configure(
                1,
                List.of("app"),
                List.of(Lab.route("charge", "non_idempotent", "app", false, 1_200, 1, true)),
                "");
        final String ip = Lab.freeNetwork(1) + "1";
        final Lab.Relay relay = lab.relay("edge-1", ip, List.of(ip), true);
        relay.start();
        relay.awaitReady();
        final AtomicInteger sent = new AtomicInteger();
        final AtomicInteger whole = new AtomicInteger();
        final AtomicInteger failed = new AtomicInteger();
        final AtomicInteger wrong = new AtomicInteger();
        final List<Thread> clients = new ArrayList<>();
        for (int c = 0; c < CLIENTS; c++) {
            final String name = "c" + c + "n";
            final Thread client =
                    new Thread(
                            () -> {
                                for (int i = 0; !sStopped; ) {
                                    try (Socket socket = relay.connect()) {
                                        socket.setSoTimeout(READ_MILLIS);
                                        final InputStream in =
                                                new BufferedInputStream(socket.getInputStream());
                                        while (!sStopped) {
                                            final String id = name + i++;
                                            sent.incrementAndGet();
                                            final Lab.Answer answer = charge(socket, in, id);
                                            if (answer.mStatus != 200) {
                                                failed.incrementAndGet();
                                            } else if (answer.text().equals(body(id))) {
                                                whole.incrementAndGet();
                                            } else {
                                                wrong.incrementAndGet();
                                                recordWrong(lab, id, answer, missing.get(id));
                                            }
                                        }
                                    } catch (final IOException e) {
                                        failed.incrementAndGet();
                                        Lab.sleep(20);
                                    }
                                }
                            });
            client.start();
            clients.add(client);
        }
        Lab.sleep(LOAD_MILLIS);
        sStopped = true;
        for (final Thread client : clients) {
            client.join(READ_MILLIS);
        }
        final String result =
                String.format(
                        "%d charges sent, %d answers truncated at replicas, %d whole answers, %d"
                                + " without a success, %d successes with a body that no replica"
                                + " made",
                        sent.get(), truncated.get(), whole.get(), failed.get(), wrong.get());
        lab.record("%s", result);
        System.out.println(result);
        if (whole.get() < sent.get() / 2) {
            return Lab.COULD_NOT_RUN;
        }
        return wrong.get() > 0 ? Lab.BROKEN : Lab.HELD;
    }

    private static Lab.Answer charge(final Socket socket, final InputStream in, final String id)
            throws IOException {
        socket.getOutputStream()
                .write(
                        Lab.ascii(
                                Lab.head(
                                                "POST",
                                                "/charge/1",
                                                id,
                                                "Deadline-Ms: 2500\r\nContent-Length: 2\r\n")
                                        + "xy"));
        return Lab.readAnswer(in);
    }

    private static void recordWrong(
            final Lab lab, final String id, final Lab.Answer answer, final Integer missing) {
        final String made = body(id);
        final String got = answer.text();
        lab.record(
                "MIXED: %s: status %d, signature %s; the replica left out the last %s bytes, the"
                        + " body ends with '%s' and not with '%s'",
                id,
                answer.mStatus,
                answer.mHeaders.get("replica-signature"),
                missing,
                got.substring(got.length() - 10),
                made.substring(made.length() - 10));
    }
}
