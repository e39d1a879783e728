import java.io.BufferedInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Sends requests whose body holds the bytes of another request, on connections that carry a sound
 * request before. No replica may run the request inside the body.
 */
final class Smuggle {
    private static final int SENDERS = 8;
    private static final int CONNECTIONS = 120;
    private static final int CLIENTS = 6;
    private static final int RUN_MILLIS = 3;
    private static final int READ_MILLIS = 5_000;
    private static final String DEADLINE = "Deadline-Ms: 2500\r\n";

    private static volatile boolean sStopped;

    private Smuggle() {}

    public static void main(final String[] arguments) throws Exception {
        int code = Lab.COULD_NOT_RUN;
        try (Lab lab = new Lab()) {
            code = run(lab);
        } catch (final IOException e) {
            System.out.println("could not run: " + e);
        }
        System.exit(code);
    }

    /** Returns a charge with a length. */
    private static String charge(final String id) {
        return Lab.head("POST", "/charge/1", id, DEADLINE + "Content-Length: 2\r\n") + "xy";
    }

    /**
     * Returns a request that carries another one in its body. With the disruption, its head names
     * a transfer coding that the relay doesn't know and no length. Without, it has a length.
     */
    private static String carrier(final String id, final String inner) {
        final String framing =
                Lab.TROUBLE
                        ? "Transfer-Encoding: gzip\r\n"
                        : "Content-Length: " + inner.length() + "\r\n";
        return Lab.head("POST", "/charge/1", id, DEADLINE + framing) + inner;
    }

    private static int run(final Lab lab) throws Exception {
        final Set<String> ran = ConcurrentHashMap.newKeySet();
        final Lab.Replica replica =
                lab.replica(
                        "i-1",
                        "app",
                        "v1",
                        10,
                        (self, request, in, out) -> {
                            final byte[] body = Lab.readBody(in, request.mHeaders);
                            ran.add(request.id());
                            if (!request.id().startsWith("client")) {
                                lab.record(
                                        "replica: runs %s, %d bytes of body",
                                        request.id(), body.length);
                            }
                            Lab.sleep(RUN_MILLIS);
                            out.write(Lab.answer(request, "done " + request.id()));
                            return true;
                        });
        lab.configure(
                1,
                List.of("app"),
                List.of(Lab.route("charge", "non_idempotent", "app", false, 2500, 1, true)),
                "");
        replica.announce("ready");
        final String ip = Lab.freeNetwork(1) + "1";
        final Lab.Relay relay = lab.relay("edge-1", ip, List.of(ip), true);
        relay.start();
        relay.awaitReady();
        for (int i = 0; i < CLIENTS; i++) {
            final String name = "client" + i;
            Lab.daemon(() -> sendCharges(relay, name));
        }
        final AtomicInteger first = new AtomicInteger();
        final List<Thread> senders = new ArrayList<>();
        for (int i = 0; i < SENDERS; i++) {
            final int number = i;
            final Thread sender =
                    new Thread(
                            () -> {
                                for (int k = 0; k < CONNECTIONS; k++) {
                                    first.addAndGet(carry(lab, relay, number + "-" + k));
                                }
                            });
            sender.start();
            senders.add(sender);
        }
        for (final Thread sender : senders) {
            sender.join();
        }
        Lab.sleep(500);
        sStopped = true;
        final long inner = ran.stream().filter(id -> id.startsWith("inner")).count();
        ran.stream()
                .filter(id -> id.startsWith("inner"))
                .limit(20)
                .forEach(id -> lab.record("BROKEN: %s ran, which was part of a body", id));
        final String result =
                String.format(
                        "%d connections, %d of them with an answer to their first request;"
                                + " requests inside of a body that ran: %d",
                        SENDERS * CONNECTIONS, first.get(), inner);
        lab.record("%s", result);
        System.out.println(result);
        if (first.get() < SENDERS * CONNECTIONS / 2) {
            return Lab.COULD_NOT_RUN;
        }
        return inner > 0 ? Lab.BROKEN : Lab.HELD;
    }

    /** Sends charges one after another, as clients of usual load do. */
    private static void sendCharges(final Lab.Relay relay, final String name) {
        for (int i = 0; !sStopped; ) {
            try (Socket socket = relay.connect()) {
                socket.setSoTimeout(READ_MILLIS);
                final InputStream in = new BufferedInputStream(socket.getInputStream());
                while (!sStopped) {
                    socket.getOutputStream().write(Lab.ascii(charge(name + "n" + i++)));
                    Lab.readAnswer(in);
                }
            } catch (final IOException e) {
                Lab.sleep(50);
            }
        }
    }

    /** Sends a sound request and a carrier; returns 1 if the first one was answered. */
    private static int carry(final Lab lab, final Lab.Relay relay, final String number) {
        final StringBuilder answers = new StringBuilder();
        int answered = 0;
        try (Socket socket = relay.connect()) {
            socket.setSoTimeout(READ_MILLIS);
            socket.getOutputStream()
                    .write(
                            Lab.ascii(
                                    charge("first" + number)
                                            + carrier(
                                                    "outer" + number, charge("inner" + number))));
            final InputStream in = new BufferedInputStream(socket.getInputStream());
            for (int i = 0; i < 2; i++) {
                final Lab.Answer answer = Lab.readAnswer(in);
                answers.append(answer.mStatus).append(' ');
                answered += i == 0 && answer.mStatus == 200 ? 1 : 0;
            }
            if (Lab.TROUBLE) {
                answers.append(Lab.readAnswer(in).mStatus);
            }
        } catch (final EOFException e) {
            answers.append("closed");
        } catch (final IOException e) {
            answers.append("reset or no answer");
        }
        lab.record("client: first%s, outer%s: %s", number, number, answers);
        return answered;
    }
}
