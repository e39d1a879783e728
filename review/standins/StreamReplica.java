import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A model replica: streams events to a number of requests at once and queues some more. A request
 * whose path contains "long" gets ten times as many events.
 */
final class StreamReplica implements AutoCloseable {
    private static final int QUEUE = 60;

    /** The longest output of a kind of request against the mean one. */
    private static final int LONG_FACTOR = 10;

    private final int mEvents;
    private final int mEventMillis;
    private final String mId;
    private final Record mRecord;
    private final Semaphore mSlots;
    private final AtomicInteger mWaiting = new AtomicInteger();
    private final ServerSocket mServer = new ServerSocket();

    StreamReplica(
            final String id,
            final int slots,
            final int events,
            final int eventMillis,
            final Record record)
            throws IOException {
        mEventMillis = eventMillis;
        mEvents = events;
        mId = id;
        mRecord = record;
        mSlots = new Semaphore(slots, true);
        mServer.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 512);
        final Thread accepting = new Thread(this::accept, "replica-" + id);
        accepting.setDaemon(true);
        accepting.start();
    }

    int port() {
        return mServer.getLocalPort();
    }

    @Override
    public void close() throws IOException {
        mServer.close();
    }

    private void accept() {
        try {
            while (true) {
                final Socket socket = mServer.accept();
                socket.setTcpNoDelay(true);
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
                    reject(out, "421 Misdirected Request", attempt, "Replica-Id: " + mId + "\r\n");
                } else if (mWaiting.get() >= QUEUE) {
                    reject(out, "503 Service Unavailable", attempt, "Not-Executed: 1\r\n");
                } else {
                    stream(out, attempt, head.line().contains("long") ? LONG_FACTOR * mEvents : mEvents);
                }
                head = Http.readHead(in);
            }
        } catch (final IOException | InterruptedException e) {
            // The relay closed the connection.
        }
    }

    private void stream(final OutputStream out, final String attempt, final int events)
            throws IOException, InterruptedException {
        mWaiting.incrementAndGet();
        final boolean admitted = mSlots.tryAcquire(12, TimeUnit.SECONDS);
        mWaiting.decrementAndGet();
        if (!admitted) {
            reject(out, "503 Service Unavailable", attempt, "Not-Executed: 1\r\n");
            return;
        }
        try {
            mRecord.line("replica %s runs %s", mId, attempt);
            out.write(
                    ("HTTP/1.1 200 OK\r\nAttempt-Id: " + attempt + "\r\nReplica-Signature: sig-" + mId
                                    + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding:"
                                    + " chunked\r\n\r\n")
                            .getBytes(StandardCharsets.US_ASCII));
            for (int i = 1; i <= events; i++) {
                Thread.sleep(mEventMillis);
                final String event = "id: " + i + "\ndata: piece " + i + " of " + attempt + "\n\n";
                out.write(
                        (Integer.toHexString(event.length()) + "\r\n" + event + "\r\n")
                                .getBytes(StandardCharsets.US_ASCII));
                out.flush();
            }
            out.write("0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            out.flush();
        } finally {
            mSlots.release();
        }
    }

    private static void reject(
            final OutputStream out, final String status, final String attempt, final String fields)
            throws IOException {
        out.write(
                ("HTTP/1.1 " + status + "\r\nAttempt-Id: " + attempt + "\r\n" + fields
                                + "Content-Length: 0\r\n\r\n")
                        .getBytes(StandardCharsets.US_ASCII));
        out.flush();
    }
}
