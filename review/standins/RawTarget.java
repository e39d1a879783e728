import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;

/**
 * A client sends a path and a query whose letters beyond ASCII aren't percent-encoded. The bytes of the
 * request line that the replica gets are compared with those that were sent.
 */
public final class RawTarget {
    private static final int REQUESTS = 5;

    private static final BlockingQueue<String> LINES = new ArrayBlockingQueue<>(REQUESTS);

    private RawTarget() {}

    public static void main(final String[] arguments) throws Exception {
        final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int changed = 0;
        try (Record record = new Record(Path.of(arguments[0]));
                Deployment deployment = new Deployment(1);
                ServerSocket replica = new ServerSocket(0, 16, InetAddress.getLoopbackAddress())) {
            deployment.configure(
                    1,
                    "[" + Deployment.route("lookup", "/lookup/", "idempotent", 1_200, 150, "api", 1) + "]",
                    "[" + Deployment.backend("api") + "]",
                    "[]");
            final Thread serving = new Thread(() -> serve(replica));
            serving.setDaemon(true);
            serving.start();
            deployment.register("p-0", "api", replica.getLocalPort(), 6);
            if (!deployment.start()) {
                record.line("the relay did not get ready");
                System.exit(2);
            }
            for (int i = 0; i < REQUESTS; i++) {
                final String sent =
                        trouble ? "/lookup/caf\u00e9?name=\u0639\u0644\u06cc" : "/lookup/caf%C3%A9?name=%D8%B9%D9%84%DB%8C";
                final String line = "GET " + sent + " HTTP/1.1";
                final int status = send(deployment.relay(0).callerPort(), line, "l" + i);
                final String got = LINES.poll(1, TimeUnit.SECONDS);
                final boolean same = bytes(line).equals(got);
                changed += got != null && !same ? 1 : 0;
                record.line("l%d: sent %s, status %d", i, hex(bytes(line)), status);
                record.line("l%d: run as %s", i, got == null ? "nothing" : hex(got));
            }
            record.line("%d of %d requests ran with another path or query", changed, REQUESTS);
        }
        System.exit(changed > 0 ? 1 : 0);
    }

    private static int send(final int port, final String line, final String attempt) throws IOException {
        try (Socket socket = new Socket("127.0.0.1", port)) {
            socket.setSoTimeout(3_000);
            final ByteArrayOutputStream request = new ByteArrayOutputStream();
            request.write(line.getBytes(StandardCharsets.UTF_8));
            request.write(
                    ("\r\nHost: " + Deployment.HOST + "\r\nAttempt-Id: " + attempt
                                    + "\r\nDeadline-Ms: 2500\r\n\r\n")
                            .getBytes(StandardCharsets.US_ASCII));
            socket.getOutputStream().write(request.toByteArray());
            return Http.readAnswer(new BufferedInputStream(socket.getInputStream())).head().status();
        }
    }

    private static void serve(final ServerSocket replica) {
        while (true) {
            try (Socket socket = replica.accept()) {
                final InputStream in = new BufferedInputStream(socket.getInputStream());
                final Http.Head head = Http.readHead(in);
                LINES.add(head.line());
                socket.getOutputStream()
                        .write(
                                ("HTTP/1.1 200 OK\r\nAttempt-Id: " + head.field("Attempt-Id")
                                                + "\r\nReplica-Signature: sig\r\nConnection: close"
                                                + "\r\nContent-Length: 0\r\n\r\n")
                                        .getBytes(StandardCharsets.US_ASCII));
            } catch (final IOException e) {
                return;
            }
        }
    }

    /** Returns a text whose characters are the bytes on the wire, as Http reads them. */
    private static String bytes(final String text) {
        return new String(text.getBytes(StandardCharsets.UTF_8), StandardCharsets.ISO_8859_1);
    }

    private static String hex(final String bytes) {
        final StringBuilder text = new StringBuilder();
        for (final char c : bytes.toCharArray()) {
            text.append(c < 0x7f ? String.valueOf(c) : String.format("<%02x>", (int) c));
        }
        return text.toString();
    }
}
