import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Replaces a replica by one of another software version while streams run at it. No stream may
 * hold events of both versions.
 */
final class Versions {
    private static final String OLD = "v1";
    private static final String NEW = "v2";
    private static final int STREAMS = 8;
    private static final int EVENTS = 64;
    private static final int EVENT_MILLIS = 75;
    private static final int BEFORE_DRAIN_MILLIS = 400;

    /** The drain time of the pages, and a little longer. */
    private static final int DRAIN_MILLIS = 2_000 + 500;

    private static final int READ_MILLIS = 15_000;
    private static final int TOLERATED = 2;

    private Versions() {}

    public static void main(final String[] arguments) throws Exception {
        int code = Lab.COULD_NOT_RUN;
        try (Lab lab = new Lab()) {
            code = run(lab);
        } catch (final IOException e) {
            System.out.println("could not run: " + e);
        }
        System.exit(code);
    }

    /** Streams events that name the version, and goes on after the last event that is named. */
    private static Lab.Handler streams(final Lab lab, final String version) {
        return (replica, request, in, out) -> {
            Lab.readBody(in, request.mHeaders);
            final String after = request.header("last-event-id");
            lab.record(
                    "replica %s (%s): runs %s after event %s",
                    replica.mId, version, request.id(), after == null ? "none" : after);
            out.write(
                    Lab.ascii(
                            "HTTP/1.1 200 OK\r\nAttempt-Id: " + request.id()
                                    + "\r\nReplica-Signature: sig." + request.id()
                                    + "\r\nContent-Type: text/event-stream"
                                    + "\r\nTransfer-Encoding: chunked\r\n\r\n"));
            for (int i = after == null ? 1 : Integer.parseInt(after) + 1; i <= EVENTS; i++) {
                Lab.sleep(EVENT_MILLIS);
                chunk(out, "id: " + i + "\ndata: " + version + " piece " + i + "\n\n");
            }
            out.write(Lab.ascii("0\r\n\r\n"));
            return true;
        };
    }

    private static void chunk(final OutputStream out, final String text) throws IOException {
        out.write(Lab.ascii(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n"));
        out.flush();
    }

    private static int run(final Lab lab) throws Exception {
        final Lab.Replica old = lab.replica("i-old", "llm", OLD, 10, streams(lab, OLD));
        lab.configure(
                1,
                List.of("llm"),
                List.of(Lab.route("report", "streaming", "llm", true, 15_000, 2, true)),
                "");
        old.announce("ready");
        final String ip = Lab.freeNetwork(1) + "1";
        final Lab.Relay relay = lab.relay("edge-1", ip, List.of(ip), true);
        relay.start();
        relay.awaitReady();
        final AtomicInteger mixed = new AtomicInteger();
        final AtomicInteger begun = new AtomicInteger();
        final List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < STREAMS; i++) {
            final String id = "stream" + i;
            final Thread client =
                    new Thread(
                            () -> {
                                final String events = read(relay, id);
                                final boolean hasOld = events.contains("data: " + OLD);
                                final boolean hasNew = events.contains("data: " + NEW);
                                lab.record(
                                        "client: %s got %d events, of %s: %b, of %s: %b, %s",
                                        id,
                                        events.split("data: ", -1).length - 1,
                                        OLD,
                                        hasOld,
                                        NEW,
                                        hasNew,
                                        events.endsWith("|end") ? "complete" : "broken off");
                                begun.addAndGet(hasOld ? 1 : 0);
                                if (hasOld && hasNew) {
                                    lab.record("BROKEN: %s holds events of two versions", id);
                                    mixed.incrementAndGet();
                                }
                            });
            client.start();
            clients.add(client);
        }
        Lab.sleep(BEFORE_DRAIN_MILLIS);
        if (Lab.TROUBLE) {
            final Lab.Replica next = lab.replica("i-new", "llm", NEW, 10, streams(lab, NEW));
            next.announce("ready");
            old.announce("draining");
            Lab.sleep(DRAIN_MILLIS);
            old.crash();
            old.withdraw();
        }
        for (final Thread client : clients) {
            client.join(READ_MILLIS);
        }
        final String result =
                String.format(
                        "%d streams, %d begun at %s, %d with events of two versions",
                        STREAMS, begun.get(), OLD, mixed.get());
        lab.record("%s", result);
        System.out.println(result);
        if (begun.get() <= TOLERATED) {
            return Lab.COULD_NOT_RUN;
        }
        return mixed.get() > TOLERATED ? Lab.BROKEN : Lab.HELD;
    }

    /** Returns the events of one stream, and an end mark if it is complete. */
    private static String read(final Lab.Relay relay, final String id) {
        final StringBuilder events = new StringBuilder();
        try (Socket socket = relay.connect()) {
            socket.setSoTimeout(READ_MILLIS);
            socket.getOutputStream()
                    .write(
                            Lab.ascii(
                                    Lab.head(
                                                    "POST",
                                                    "/report/1",
                                                    id,
                                                    "Deadline-Ms: 15000\r\nContent-Length: 2\r\n")
                                            + "xy"));
            final InputStream in = new BufferedInputStream(socket.getInputStream());
            Lab.readLine(in);
            Lab.readHeaders(in, new java.util.HashMap<>());
            int size = Integer.parseInt(Lab.readLine(in).trim(), 16);
            while (size > 0) {
                events.append(new String(Lab.readFully(in, size)));
                Lab.readLine(in);
                size = Integer.parseInt(Lab.readLine(in).trim(), 16);
            }
            return events.append("|end").toString();
        } catch (final IOException | RuntimeException e) {
            return events.toString();
        }
    }
}
