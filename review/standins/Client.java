import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** One connection of a client, on which it sends one request at a time. */
final class Client implements AutoCloseable {
    private final Socket mSocket;
    private final InputStream mIn;
    private String mSizes = "";

    Client(final int port, final int timeoutMillis) throws IOException {
        mSocket = new Socket();
        mSocket.connect(new InetSocketAddress("127.0.0.1", port), 1_000);
        mSocket.setSoTimeout(timeoutMillis);
        mIn = new BufferedInputStream(mSocket.getInputStream());
    }

    Socket socket() {
        return mSocket;
    }

    /** Sends a request and returns its answer, null if the connection ended before it. */
    Http.Answer call(
            final String path, final String attempt, final int deadlineMillis, final byte[] body)
            throws IOException {
        send(path, attempt, deadlineMillis, body);
        return Http.readAnswer(mIn);
    }

    /** Sends a request with the sizes of its prompt and its output, and returns its answer. */
    Http.Answer generate(final String path, final String attempt, final int deadlineMillis)
            throws IOException {
        mSizes = "Token-Usage: 628,2940\r\nLength-Hint: 294\r\n";
        return call(path, attempt, deadlineMillis, new byte[830]);
    }

    void send(
            final String path, final String attempt, final int deadlineMillis, final byte[] body)
            throws IOException {
        final OutputStream out = mSocket.getOutputStream();
        out.write(
                ("POST " + path + " HTTP/1.1\r\nHost: " + Deployment.HOST + "\r\nAttempt-Id: "
                                + attempt + "\r\nDeadline-Ms: " + deadlineMillis
                                + "\r\n" + mSizes + "Content-Length: " + body.length + "\r\n\r\n")
                        .getBytes(StandardCharsets.US_ASCII));
        out.write(body);
        out.flush();
    }

    Http.Answer answer() throws IOException {
        return Http.readAnswer(mIn);
    }

    @Override
    public void close() throws IOException {
        mSocket.close();
    }
}
