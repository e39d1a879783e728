import java.io.BufferedInputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;

/** A request whose body holds another request, framed by a transfer coding that isn't chunked. */
public final class Smuggling {
    private static final int DEADLINE_MILLIS = 2_500;

    private Smuggling() {}

    public static void main(final String[] arguments) throws Exception {
        final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int smuggled = 0;
        int unserved = 0;
        try (Record record = new Record(Path.of(arguments[0]));
                Deployment deployment = new Deployment(1)) {
            deployment.configure(
                    1,
                    "[" + Deployment.route("charge", "/charge/", "non_idempotent", 1_200, 150, "api", 1)
                            + "]",
                    "[" + Deployment.backend("api") + "]",
                    "[]");
            final SoundReplica replica = new SoundReplica("p-0", 43, record);
            deployment.register("p-0", "api", replica.port(), 6);
            if (!deployment.start()) {
                record.line("the relay did not get ready");
                System.exit(2);
            }
            final String[] codings = {"gzip", "identity", "deflate", "gzip", "identity"};
            for (int i = 0; i < codings.length; i++) {
                final String outer = "outer-" + i;
                final String inner = "inner-" + i;
                final String body =
                        "POST /charge/refund HTTP/1.1\r\nHost: " + Deployment.HOST
                                + "\r\nAttempt-Id: " + inner
                                + "\r\nDeadline-Ms: 2500\r\nContent-Length: 0\r\n\r\n";
                final String framing =
                        trouble
                                ? "Transfer-Encoding: " + codings[i]
                                : "Content-Length: " + body.length();
                try (Socket socket = new Socket("127.0.0.1", deployment.relay(0).callerPort())) {
                    socket.setSoTimeout(DEADLINE_MILLIS);
                    final OutputStream out = socket.getOutputStream();
                    out.write(
                            ("POST /charge/note HTTP/1.1\r\nHost: " + Deployment.HOST
                                            + "\r\nAttempt-Id: " + outer + "\r\nDeadline-Ms: "
                                            + DEADLINE_MILLIS + "\r\n" + framing + "\r\n\r\n" + body)
                                    .getBytes(StandardCharsets.US_ASCII));
                    out.flush();
                    record.line("sent %s with %s; its body holds a request %s", outer, framing, inner);
                    final BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
                    final Http.Answer answer = Http.readAnswer(in);
                    record.line("answer to %s: %s", outer, answer == null ? "closed" : answer.head().line());
                    unserved += answer == null || answer.head().status() != 200 ? 1 : 0;
                    try {
                        final Http.Answer second = Http.readAnswer(in);
                        record.line("then: %s", second == null ? "closed" : second.head().line());
                    } catch (final SocketTimeoutException e) {
                        record.line("then: nothing");
                    }
                }
                if (replica.runs().containsKey(inner)) {
                    smuggled++;
                }
            }
            record.line("%d of %d requests inside the body of another one were run", smuggled, codings.length);
        }
        System.exit(smuggled > 0 ? 1 : !trouble && unserved > 0 ? 2 : 0);
    }
}
