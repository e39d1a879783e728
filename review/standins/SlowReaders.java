import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** A relay gets SIGTERM while clients on slow links still receive large answers. */
public final class SlowReaders {
    private static final int CLIENTS = 24;
    private static final int SMALLEST_BYTES = 5_000_000;
    private static final int STEP_BYTES = 40_000;
    private static final int READ_BYTES = 12_000;
    private static final int READ_PAUSE_MILLIS = 20;
    private static final int DEADLINE_MILLIS = 14_000;
    private static final int GRACE_MILLIS = 8_000;

    private static final Map<String, Long> WORK_ENDED = new ConcurrentHashMap<>();
    private static final AtomicInteger COMPLETE = new AtomicInteger();
    private static final AtomicInteger CUT = new AtomicInteger();
    private static final AtomicInteger EXCUSED = new AtomicInteger();
    private static volatile long sTermNanos = Long.MAX_VALUE;

    private SlowReaders() {}

    public static void main(final String[] arguments) throws Exception {
        final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        try (Record record = new Record(Path.of(arguments[0]));
                Deployment deployment = new Deployment(1)) {
            deployment.configure(
                    1,
                    "[" + Deployment.route("report", "/report/", "non_idempotent", 15_000, 800, "api", 1)
                            + "]",
                    "[" + Deployment.backend("api") + "]",
                    "[]");
            for (int i = 0; i < 3; i++) {
                deployment.register("p-" + i, "api", replica("p-" + i, record), 10);
            }
            if (!deployment.start()) {
                record.line("the relay did not get ready");
                System.exit(2);
            }
            final Relay relay = deployment.relay(0);
            final List<Thread> clients = new ArrayList<>();
            for (int i = 0; i < CLIENTS; i++) {
                final int number = i;
                final Thread thread = new Thread(() -> read(relay.callerPort(), number, record));
                thread.start();
                clients.add(thread);
            }
            Thread.sleep(1_500);
            if (trouble) {
                sTermNanos = System.nanoTime();
                relay.signal("TERM");
                record.line("the relay gets SIGTERM");
            }
            for (final Thread thread : clients) {
                thread.join();
            }
            record.line("%d answers arrived whole, %d were cut off, %d were cut off with an excuse",
                    COMPLETE.get(), CUT.get(), EXCUSED.get());
        }
        System.exit(CUT.get() > 0 ? 1 : 0);
    }

    private static int size(final String attempt) {
        return SMALLEST_BYTES + Integer.parseInt(attempt.substring(1)) * STEP_BYTES;
    }

    private static void read(final int port, final int number, final Record record) {
        final String attempt = "r" + number;
        final int size = size(attempt);
        int received = 0;
        boolean ended = false;
        String end = "closed";
        try (Socket socket = new Socket()) {
            socket.setReceiveBufferSize(64 * 1024);
            socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 1_000);
            socket.setSoTimeout(DEADLINE_MILLIS);
            final OutputStream out = socket.getOutputStream();
            out.write(
                    ("POST /report/day HTTP/1.1\r\nHost: " + Deployment.HOST + "\r\nAttempt-Id: " + attempt
                                    + "\r\nDeadline-Ms: " + DEADLINE_MILLIS
                                    + "\r\nContent-Length: 5\r\n\r\nhello")
                            .getBytes(StandardCharsets.US_ASCII));
            out.flush();
            record.line("sent %s, its answer has %d bytes", attempt, size);
            final InputStream in = socket.getInputStream();
            final byte[] buffer = new byte[READ_BYTES];
            String tail = "";
            int count = in.read(buffer);
            while (count >= 0 && !ended) {
                received += count;
                tail += new String(buffer, Math.max(0, count - 5), Math.min(5, count), StandardCharsets.US_ASCII);
                tail = tail.substring(Math.max(0, tail.length() - 5));
                ended = tail.equals("0\r\n\r\n");
                if (!ended) {
                    Thread.sleep(READ_PAUSE_MILLIS);
                    count = in.read(buffer);
                }
            }
        } catch (final IOException | InterruptedException e) {
            end = e.toString();
        }
        final long workEnded = WORK_ENDED.getOrDefault(attempt, Long.MAX_VALUE);
        final boolean excused = workEnded - sTermNanos > GRACE_MILLIS * 5L / 6 * 1_000_000;
        (ended ? COMPLETE : excused ? EXCUSED : CUT).incrementAndGet();
        record.line("%s: %s after %d of %d bytes and more", attempt, ended ? "whole" : "cut off (" + end + ")", received, size);
    }

    /** Starts a replica that sends its whole answer as fast as the relay reads it. */
    private static int replica(final String id, final Record record) throws IOException {
        final ServerSocket server = new ServerSocket(0, 64, InetAddress.getLoopbackAddress());
        final Thread accepting =
                new Thread(
                        () -> {
                            try {
                                while (true) {
                                    final Socket socket = server.accept();
                                    final Thread thread = new Thread(() -> serve(id, socket, record));
                                    thread.setDaemon(true);
                                    thread.start();
                                }
                            } catch (final IOException e) {
                                // Closed.
                            }
                        });
        accepting.setDaemon(true);
        accepting.start();
        return server.getLocalPort();
    }

    private static void serve(final String id, final Socket socket, final Record record) {
        try (socket) {
            final InputStream in = new BufferedInputStream(socket.getInputStream());
            final OutputStream out = socket.getOutputStream();
            Http.Head head = Http.readHead(in);
            while (head != null) {
                Http.readBytes(in, Math.max(0, head.length()));
                final String attempt = head.field("Attempt-Id");
                final byte[] body = new byte[size(attempt)];
                java.util.Arrays.fill(body, (byte) 'z');
                record.line("replica %s runs %s", id, attempt);
                out.write(
                        ("HTTP/1.1 200 OK\r\nAttempt-Id: " + attempt + "\r\nReplica-Signature: sig-" + id
                                        + "\r\nContent-Length: " + body.length + "\r\n\r\n")
                                .getBytes(StandardCharsets.US_ASCII));
                out.write(body);
                out.flush();
                WORK_ENDED.put(attempt, System.nanoTime());
                record.line("replica %s has sent its answer to %s", id, attempt);
                head = Http.readHead(in);
            }
        } catch (final IOException e) {
            record.line("replica %s: %s", id, e);
        }
    }
}
