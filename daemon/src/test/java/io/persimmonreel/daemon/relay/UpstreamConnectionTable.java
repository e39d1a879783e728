package io.persimmonreel.daemon.relay;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.handler.codec.http.HttpMethod;
import io.persimmonreel.daemon.relay.RecordingListener.Progress;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;

/**
 * Checks the outcomes of one exchange in a state of its connection for the events that follow.
 *
 * <p>The bytes of each row arrive in one read, and in two reads for each way to cut them. The
 * outcome must be the same for all.
 */
final class UpstreamConnectionTable {
    static final String OWN = response("200 OK", "own", "own body");
    static final String PREVIOUS = response("200 OK", "previous", "hi");
    static final String REFUSED = "503 Service Unavailable\r\nPersimmonreel-Not-Run: 1";
    static final String FAILURE = "500 Internal Server Error";

    private UpstreamConnectionTable() {}

    /** Says where a connection is after the events of a row. */
    enum Place {
        IN_USE,
        POOLED,
        CLOSED
    }

    /** Lists the ways in which the input of a connection ends after the bytes of a row. */
    enum Ending {
        NONE,
        IN_ORDER,
        RESET_IN_READ,
        /** The reset is met in the read loop that delivered the last bytes. */
        RESET_IN_SAME_READ,
        RESET_IN_WRITE
    }

    /** What the exchange reported and where its connection is. */
    record Outcome(int status, String body, Progress progress, Place place) {}

    /** The events after a state and the expected outcome. */
    record Row(String name, String bytes, Ending ending, Outcome expected) {
        @Override
        public String toString() {
            return name;
        }
    }

    /** Brings a connection into a state and returns the exchange that the row is about. */
    interface State {
        Supplier<RecordingListener> begin(UpstreamConnectionHarness harness);
    }

    /** Sends the next request on the connection once the response is complete. */
    private static final class SendingListener extends RecordingListener {
        private final UpstreamConnectionHarness mHarness;
        private final RecordingListener mNext = new RecordingListener();

        SendingListener(final UpstreamConnectionHarness harness) {
            mHarness = harness;
        }

        @Override
        public void onEnd() {
            super.onEnd();
            if (mHarness.isPooled()) {
                mHarness.send("own", HttpMethod.POST, mNext);
            }
        }
    }

    static String head(final String status, final String attemptId, final String fields) {
        return "HTTP/1.1 "
                + status
                + "\r\n"
                + (attemptId.isEmpty() ? "" : "Persimmonreel-Attempt: " + attemptId + "\r\n")
                + UpstreamConnectionHarness.SIGNATURE
                + fields
                + "\r\n";
    }

    static String response(final String status, final String attemptId, final String body) {
        return head(status, attemptId, "Content-Length: " + body.length() + "\r\n") + body;
    }

    static String chunked(final String status, final String attemptId, final String body) {
        return head(status, attemptId, "Transfer-Encoding: chunked\r\n")
                + Integer.toHexString(body.length())
                + "\r\n"
                + body
                + "\r\n0\r\n\r\n";
    }

    static Outcome outcome(
            final int status, final String body, final Progress progress, final Place place) {
        return new Outcome(status, body, progress, place);
    }

    static Outcome failed() {
        return outcome(0, "", Progress.FAILED, Place.CLOSED);
    }

    static Outcome waiting() {
        return outcome(0, "", Progress.OPEN, Place.IN_USE);
    }

    static Outcome complete(final Place place) {
        return outcome(200, "own body", Progress.COMPLETE, place);
    }

    static Row row(final String name, final String bytes, final Outcome expected) {
        return new Row(name, bytes, Ending.NONE, expected);
    }

    static Row row(
            final String name, final String bytes, final Ending ending, final Outcome expected) {
        return new Row(name + " " + ending, bytes, ending, expected);
    }

    static void check(final Row row, final State state) {
        check(row, state, "");
    }

    /** Checks a row whose first bytes end what the state has begun. */
    static void check(final Row row, final State state, final String prefix) {
        final String bytes = prefix + row.bytes();
        for (int cut = 0; cut < Math.max(1, bytes.length()); cut++) {
            final List<String> reads =
                    cut == 0
                            ? List.of(bytes)
                            : List.of(bytes.substring(0, cut), bytes.substring(cut));
            assertThat(run(row.ending(), state, reads))
                    .as("%s, reads %s", row.name(), reads)
                    .isEqualTo(row.expected());
        }
    }

    static Outcome run(final Ending ending, final State state, final List<String> reads) {
        try (UpstreamConnectionHarness harness = new UpstreamConnectionHarness()) {
            final Supplier<RecordingListener> exchange = state.begin(harness);
            for (int i = 0; i < reads.size(); i++) {
                if (ending == Ending.RESET_IN_SAME_READ && i == reads.size() - 1) {
                    harness.readAndReset(reads.get(i));
                } else if (!reads.get(i).isEmpty()) {
                    harness.read(reads.get(i));
                }
            }
            switch (ending) {
                case IN_ORDER -> harness.endOfInput();
                case RESET_IN_READ -> harness.resetInRead();
                case RESET_IN_WRITE -> harness.resetInWrite();
                default -> {}
            }
            final RecordingListener listener = exchange.get();
            return outcome(listener.status(), listener.body(), listener.progress(), place(harness));
        }
    }

    static Place place(final UpstreamConnectionHarness harness) {
        if (harness.isPooled()) {
            return Place.POOLED;
        }
        return harness.isOpen() ? Place.IN_USE : Place.CLOSED;
    }

    static Supplier<RecordingListener> fresh(final UpstreamConnectionHarness harness) {
        final RecordingListener listener = harness.send("own");
        return () -> listener;
    }

    static Supplier<RecordingListener> used(final UpstreamConnectionHarness harness) {
        harness.send("previous");
        harness.read(response("200 OK", "previous", "previous body"));
        return fresh(harness);
    }

    /** The request is sent while the end of the response before is read. */
    static Supplier<RecordingListener> following(final UpstreamConnectionHarness harness) {
        final SendingListener previous =
                harness.send("previous", HttpMethod.POST, new SendingListener(harness));
        return () -> previous.mNext;
    }

    static List<Row> endings(final String name, final String bytes, final Outcome expected) {
        final List<Row> rows = new ArrayList<>();
        for (final Ending ending : Ending.values()) {
            if (ending != Ending.NONE) {
                rows.add(row(name, bytes, ending, expected));
            }
        }
        return rows;
    }
}
