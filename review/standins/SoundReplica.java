import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;

/**
 * A replica that reads each request whole, runs it and answers it with the attempt's own body. A
 * request whose path contains "mute" runs and is not answered.
 */
final class SoundReplica implements AutoCloseable {
    private final String mId;
    private final Record mRecord;
    private final int mWorkMillis;
    private final Semaphore mSlots;
    private final ServerSocket mServer = new ServerSocket();
    private final Map<String, Integer> mRuns = new ConcurrentHashMap<>();
    private final Set<Socket> mSockets = ConcurrentHashMap.newKeySet();

    SoundReplica(final String id, final int workMillis, final Record record) throws IOException {
        this(id, workMillis, Integer.MAX_VALUE, record);
    }

    /** Creates a replica that runs a number of requests at once and queues the others. */
    SoundReplica(final String id, final int workMillis, final int slots, final Record record)
            throws IOException {
        mSlots = new Semaphore(slots, true);
        mId = id;
        mRecord = record;
        mWorkMillis = workMillis;
        mServer.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 512);
        final Thread accepting = new Thread(this::accept, "replica-" + id);
        accepting.setDaemon(true);
        accepting.start();
    }

    int port() {
        return mServer.getLocalPort();
    }

    /** Returns how often each attempt was run. */
    Map<String, Integer> runs() {
        return mRuns;
    }

    static byte[] answer(final String attempt) {
        return ("answer to " + attempt + "\n").repeat(30).getBytes(StandardCharsets.US_ASCII);
    }

    @Override
    public void close() throws IOException {
        mServer.close();
        for (final Socket socket : mSockets) {
            socket.close();
        }
    }

    private void accept() {
        try {
            while (true) {
                final Socket socket = mServer.accept();
                mSockets.add(socket);
                final Thread thread = new Thread(() -> serve(socket));
                thread.setDaemon(true);
                thread.start();
            }
        } catch (final IOException e) {
            // Closed.
        }
    }

    private void serve(final Socket socket) {
        try (socket) {
            final InputStream in = new BufferedInputStream(socket.getInputStream());
            final OutputStream out = socket.getOutputStream();
            Http.Head head = Http.readHead(in);
            while (head != null) {
                Http.readBytes(in, Math.max(0, head.length()));
                final String attempt = head.field("Attempt-Id");
                if (!mId.equals(head.field("Expected-Replica"))) {
                    write(out, "421 Misdirected Request", attempt, "Replica-Id: " + mId + "\r\n", new byte[0]);
                } else {
                    if (!run(head, attempt, in)) {
                        return;
                    }
                    write(out, "200 OK", attempt, "Replica-Signature: sig-" + mId + "\r\n", answer(attempt));
                }
                head = Http.readHead(in);
            }
        } catch (final IOException | InterruptedException e) {
            // The relay closed the connection.
        } finally {
            mSockets.remove(socket);
        }
    }

    /** Returns whether the request is to be answered. */
    private boolean run(final Http.Head head, final String attempt, final InputStream in)
            throws IOException, InterruptedException {
        mSlots.acquire();
        try {
            mRuns.merge(attempt, 1, Integer::sum);
            mRecord.line("replica %s runs %s", mId, attempt);
            if (head.line().contains("mute")) {
                in.read();
                return false;
            }
            Thread.sleep(mWorkMillis);
            return true;
        } finally {
            mSlots.release();
        }
    }

    private static void write(
            final OutputStream out,
            final String status,
            final String attempt,
            final String fields,
            final byte[] body)
            throws IOException {
        out.write(
                ("HTTP/1.1 " + status + "\r\nAttempt-Id: " + attempt + "\r\n" + fields
                                + "Content-Length: " + body.length + "\r\n\r\n")
                        .getBytes(StandardCharsets.US_ASCII));
        out.write(body);
        out.flush();
    }
}
