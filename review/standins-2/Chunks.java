import java.io.BufferedInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Sends a lookup on a kept connection and, while a replica works on it, the next request, whose
 * body comes in many small chunks. The lookup must be answered.
 */
final class Chunks {
    private static final int CONNECTIONS = 12;
    private static final int RUN_MILLIS = 60;
    private static final int BETWEEN_MILLIS = 20;

    /** The mean size of the body of the longest requests on the users' sheet. */
    private static final int BODY_BYTES = 12_000;

    private static final int SMALL_CHUNK_BYTES = 40;
    private static final int LARGE_CHUNK_BYTES = 4_000;
    private static final int TOLERATED = 3;

    private Chunks() {}

    public static void main(final String[] arguments) throws Exception {
        int code = Lab.COULD_NOT_RUN;
        try (Lab lab = new Lab()) {
            code = run(lab);
        } catch (final IOException e) {
            System.out.println("could not run: " + e);
        }
        System.exit(code);
    }

    private static String chunked(final int chunkBytes) {
        final StringBuilder body = new StringBuilder();
        for (int sent = 0; sent < BODY_BYTES; sent += chunkBytes) {
            body.append(Integer.toHexString(chunkBytes)).append("\r\n");
            body.append("x".repeat(chunkBytes)).append("\r\n");
        }
        return body.append("0\r\n\r\n").toString();
    }

    private static int run(final Lab lab) throws Exception {
        final Set<String> ran = ConcurrentHashMap.newKeySet();
        lab.replica(
                        "i-1",
                        "app",
                        "v1",
                        10,
                        (replica, request, in, out) -> {
                            final int size = Lab.readBody(in, request.mHeaders).length;
                            ran.add(request.id());
                            lab.record("replica: runs %s, %d bytes of body", request.id(), size);
                            Lab.sleep(RUN_MILLIS);
                            out.write(Lab.answer(request, "done " + request.id()));
                            return true;
                        })
                .announce("ready");
        lab.configure(
                1,
                List.of("app"),
                List.of(
                        Lab.route("lookup", "idempotent", "app", false, 1_200, 2, true),
                        Lab.route("report", "idempotent", "app", false, 15_000, 2, true)),
                "");
        final String ip = Lab.freeNetwork(1) + "1";
        final Lab.Relay relay = lab.relay("edge-1", ip, List.of(ip), true);
        relay.start();
        relay.awaitReady();
        final String body = chunked(Lab.TROUBLE ? SMALL_CHUNK_BYTES : LARGE_CHUNK_BYTES);
        int lost = 0;
        int answered = 0;
        for (int i = 0; i < CONNECTIONS; i++) {
            final String lookup = "lookup" + i;
            try (Socket socket = relay.connect()) {
                socket.setSoTimeout(5_000);
                final InputStream in = new BufferedInputStream(socket.getInputStream());
                socket.getOutputStream().write(Lab.ascii(lookup("first" + i)));
                answered += Lab.readAnswer(in).mStatus == 200 ? 1 : 0;
                socket.getOutputStream().write(Lab.ascii(lookup(lookup)));
                Lab.sleep(BETWEEN_MILLIS);
                socket.getOutputStream()
                        .write(
                                Lab.ascii(
                                        Lab.head(
                                                        "POST",
                                                        "/report/1",
                                                        "report" + i,
                                                        "Deadline-Ms: 15000\r\n"
                                                                + "Transfer-Encoding: chunked\r\n")
                                                + body));
                lab.record("client: %s answered %d", lookup, Lab.readAnswer(in).mStatus);
                lab.record("client: report%d answered %d", i, Lab.readAnswer(in).mStatus);
            } catch (final EOFException e) {
                lab.record("client: %s: closed without an answer", lookup);
                if (ran.contains(lookup)) {
                    lab.record("LOST: %s, which the replica ran", lookup);
                    lost++;
                }
            } catch (final IOException e) {
                lab.record("client: %s: %s", lookup, e.getMessage());
                if (ran.contains(lookup)) {
                    lab.record("LOST: %s, which the replica ran", lookup);
                    lost++;
                }
            }
        }
        final String result =
                String.format(
                        "%d connections, %d first requests answered, %d lookups at a replica and"
                                + " closed without an answer",
                        CONNECTIONS, answered, lost);
        lab.record("%s", result);
        System.out.println(result);
        if (answered < CONNECTIONS) {
            return Lab.COULD_NOT_RUN;
        }
        return lost > TOLERATED ? Lab.BROKEN : Lab.HELD;
    }

    private static String lookup(final String id) {
        return Lab.head("GET", "/lookup/1", id, "Deadline-Ms: 2500\r\n");
    }
}
