import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/**
 * A replica that answers before it has read a long body, without a length, and reads the rest later.
 *
 * <p>Prints its port, and a line for each run. Its receive buffer is small, as the links of the
 * platform have small windows.
 */
public final class EarlyReplica {
    static final int ANSWER_BYTES = 20_000;
    private static final int PART_BYTES = 1_000;
    private static final int RECEIVE_BUFFER_BYTES = 32 * 1024;

    private EarlyReplica() {}

    static byte[] answer(final String attempt) {
        final byte[] bytes = new byte[ANSWER_BYTES];
        for (int i = 0; i < bytes.length; i++) {
            bytes[i] = (byte) ('a' + Math.floorMod(attempt.hashCode() + i, 26));
        }
        return bytes;
    }

    public static void main(final String[] arguments) throws IOException {
        final String id = arguments[0];
        final ServerSocket server = new ServerSocket();
        server.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
        server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        System.out.println("port " + server.getLocalPort());
        while (true) {
            final Socket socket = server.accept();
            new Thread(() -> serve(id, socket)).start();
        }
    }

    private static void serve(final String id, final Socket socket) {
        try (socket) {
            final InputStream in = new BufferedInputStream(socket.getInputStream());
            final OutputStream out = socket.getOutputStream();
            final Http.Head head = Http.readHead(in);
            if (head == null) {
                return;
            }
            final String attempt = head.field("Attempt-Id");
            if (!id.equals(head.field("Expected-Replica"))) {
                out.write(
                        ("HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: " + attempt
                                        + "\r\nReplica-Id: " + id
                                        + "\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
                                .getBytes(StandardCharsets.US_ASCII));
                return;
            }
            final int first = Math.min(head.length(), 64 * 1024);
            Http.readBytes(in, first);
            System.out.println("runs " + attempt + " body " + head.length());
            out.write(
                    ("HTTP/1.1 200 OK\r\nAttempt-Id: " + attempt + "\r\nReplica-Signature: sig-" + id
                                    + "\r\nContent-Type: text/plain\r\nConnection: close\r\n\r\n")
                            .getBytes(StandardCharsets.US_ASCII));
            final byte[] answer = answer(attempt);
            for (int i = 0; i < answer.length; i += PART_BYTES) {
                out.write(answer, i, PART_BYTES);
                out.flush();
                Thread.sleep(50);
            }
            Http.readBytes(in, head.length() - first);
            System.out.println("ends " + attempt);
        } catch (final IOException | InterruptedException e) {
            System.out.println("broken " + e);
        }
    }
}
