package io.persimmonreel.daemon.relay;

import static io.persimmonreel.daemon.relay.UpstreamConnectionTable.FAILURE;
import static io.persimmonreel.daemon.relay.UpstreamConnectionTable.OWN;
import static io.persimmonreel.daemon.relay.UpstreamConnectionTable.PREVIOUS;
import static io.persimmonreel.daemon.relay.UpstreamConnectionTable.REFUSED;
import static io.persimmonreel.daemon.relay.UpstreamConnectionTable.check;
import static io.persimmonreel.daemon.relay.UpstreamConnectionTable.chunked;
import static io.persimmonreel.daemon.relay.UpstreamConnectionTable.complete;
import static io.persimmonreel.daemon.relay.UpstreamConnectionTable.endings;
import static io.persimmonreel.daemon.relay.UpstreamConnectionTable.failed;
import static io.persimmonreel.daemon.relay.UpstreamConnectionTable.fresh;
import static io.persimmonreel.daemon.relay.UpstreamConnectionTable.head;
import static io.persimmonreel.daemon.relay.UpstreamConnectionTable.outcome;
import static io.persimmonreel.daemon.relay.UpstreamConnectionTable.response;
import static io.persimmonreel.daemon.relay.UpstreamConnectionTable.row;
import static io.persimmonreel.daemon.relay.UpstreamConnectionTable.run;
import static io.persimmonreel.daemon.relay.UpstreamConnectionTable.used;
import static io.persimmonreel.daemon.relay.UpstreamConnectionTable.waiting;
import static org.assertj.core.api.Assertions.assertThat;

import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.persimmonreel.daemon.relay.RecordingListener.Progress;
import io.persimmonreel.daemon.relay.UpstreamConnectionTable.Ending;
import io.persimmonreel.daemon.relay.UpstreamConnectionTable.Outcome;
import io.persimmonreel.daemon.relay.UpstreamConnectionTable.Place;
import io.persimmonreel.daemon.relay.UpstreamConnectionTable.Row;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;
import java.util.stream.Stream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Covers the other states of a connection, for each event on it. */
class UpstreamConnectionStatesTest {
    /** Covers what follows the response. */
    @Nested
    class AfterTheResponse {
        static Stream<Row> rows() {
            final List<Row> rows = new ArrayList<>();
            rows.add(row("own", OWN, complete(Place.CLOSED)));
            rows.add(row("own, 2 bytes", response("200 OK", "own", "hi"), complete(Place.CLOSED)));
            rows.add(row("failure", response(FAILURE, "own", "x"), complete(Place.CLOSED)));
            rows.add(row("refusal", response(REFUSED, "own", "x"), complete(Place.CLOSED)));
            rows.add(row("no length", head("200 OK", "own", "") + "hi", complete(Place.CLOSED)));
            rows.add(row("other", response("200 OK", "other", "x"), complete(Place.CLOSED)));
            rows.add(row("without an id", response("200 OK", "", "x"), complete(Place.CLOSED)));
            rows.add(row("interim", "HTTP/1.1 100 Continue\r\n\r\n", complete(Place.CLOSED)));
            rows.add(row("garbage", "garbage\r\n\r\n", complete(Place.CLOSED)));
            rows.addAll(endings("nothing, then", "", complete(Place.CLOSED)));
            return rows.stream();
        }

        static Stream<Row> partsOfAHead() {
            return Stream.of(
                    row("bytes without a line", "hi", complete(Place.CLOSED)),
                    row("status line", "HTTP/1.1 200 O", complete(Place.CLOSED)),
                    row("header", "HTTP/1.1 200 OK\r\nX: y", complete(Place.CLOSED)));
        }

        @ParameterizedTest
        @MethodSource("rows")
        void closesTheConnection(final Row row) {
            check(row, UpstreamConnectionTable::used, OWN);
        }

        /** Guards against a part of a head that is joined with the head of the next response. */
        @ParameterizedTest
        @MethodSource("partsOfAHead")
        void closesTheConnectionIfAHeadIsCutOff(final Row row) {
            check(row, UpstreamConnectionTable::used, OWN);
        }

        @ParameterizedTest
        @MethodSource
        void leavesAFailureAFailure(final String second) {
            check(
                    row(second, second, outcome(500, "failure", Progress.COMPLETE, Place.CLOSED)),
                    UpstreamConnectionTable::used,
                    response(FAILURE, "own", "failure"));
        }

        static Stream<String> leavesAFailureAFailure() {
            return Stream.of(OWN, chunked("200 OK", "own", "hi"), response("200 OK", "own", "hi"));
        }

        @ParameterizedTest
        @MethodSource("leavesAFailureAFailure")
        void leavesARefusalARefusal(final String second) {
            check(
                    row(second, second, outcome(503, "no", Progress.COMPLETE, Place.CLOSED)),
                    UpstreamConnectionTable::used,
                    response(REFUSED, "own", "no"));
        }
    }

    /** Covers a request that is sent while the end of the response before is read. */
    @Nested
    class Following {
        private static final String FIRST = response("200 OK", "previous", "previous body");

        /** Guards against a success that is made of two heads. */
        @ParameterizedTest
        @MethodSource("partsOfAHead")
        void neverSucceedsWhereItsReplicaFailed(final String part) {
            final String bytes = FIRST + part + response(FAILURE, "own", "failure");
            for (int cut = FIRST.length() + 1; cut < bytes.length(); cut++) {
                final Outcome outcome =
                        run(
                                Ending.NONE,
                                UpstreamConnectionTable::following,
                                List.of(bytes.substring(0, cut), bytes.substring(cut)));
                assertThat(outcome.status()).as(part + " cut at " + cut).isIn(0, 500);
            }
        }

        static Stream<String> partsOfAHead() {
            return Stream.of(
                    "HTTP/1.1 200 O", "HTTP/1.1 200 OK\r\nX: y", "HTTP/1.1 200 OK\r\nSignature: y");
        }

        /** Guards against a success that is made of two heads. */
        @ParameterizedTest
        @MethodSource("partsOfAHead")
        void neverSucceedsWhereItsReplicaFailedAfterAnIdleTime(final String part) {
            final RecordingListener next = new RecordingListener();
            try (UpstreamConnectionHarness harness = new UpstreamConnectionHarness()) {
                harness.send("previous");
                harness.read(FIRST);
                harness.read(part);
                if (harness.isHandedOutFor("own")) {
                    harness.send("own", HttpMethod.POST, next);
                    harness.read(response(FAILURE, "own", "failure"));
                }
            }
            assertThat(next.status()).isIn(0, 500);
        }

        @ParameterizedTest
        @MethodSource("rows")
        void getsItsOwnResponse(final Row row) {
            final String bytes = row.bytes();
            for (int cut = FIRST.length(); cut < bytes.length(); cut++) {
                final List<String> reads = List.of(bytes.substring(0, cut), bytes.substring(cut));
                final Outcome outcome =
                        run(row.ending(), UpstreamConnectionTable::following, reads);
                assertThat(outcome.body()).as("%s, reads %s", row, reads).isIn("", "own body");
                assertThat(outcome.status()).as("%s, reads %s", row, reads).isIn(0, 200);
            }
        }

        static Stream<Row> rows() {
            return Stream.of(
                    row("own", FIRST + OWN, null),
                    row("second, own", FIRST + PREVIOUS + OWN, null),
                    row(
                            "second failure, own",
                            FIRST + response(FAILURE, "previous", "x") + OWN,
                            null),
                    row("without an id, own", FIRST + response("200 OK", "", "x") + OWN, null));
        }
    }

    /** Covers a response that has begun. */
    @Nested
    class Answering {
        private static final String BODY = "Transfer-Encoding: chunked\r\n";

        static Stream<Row> cutOff() {
            final Outcome partly = outcome(200, "own", Progress.FAILED, Place.CLOSED);
            final List<Row> rows = new ArrayList<>();
            rows.addAll(
                    endings(
                            "length",
                            head("200 OK", "own", "Content-Length: 8\r\n") + "own",
                            partly));
            rows.addAll(endings("chunks", head("200 OK", "own", BODY) + "3\r\nown\r\n", partly));
            rows.addAll(endings("in a chunk", head("200 OK", "own", BODY) + "8\r\nown", partly));
            rows.addAll(
                    endings("last chunk", head("200 OK", "own", BODY) + "3\r\nown\r\n0", partly));
            rows.addAll(
                    endings(
                            "before the trailers",
                            head("200 OK", "own", BODY) + "3\r\nown\r\n0\r\n",
                            partly));
            rows.addAll(
                    endings(
                            "in the trailers",
                            head("200 OK", "own", BODY) + "3\r\nown\r\n0\r\nA: b\r\n",
                            partly));
            rows.addAll(
                    endings(
                            "second head",
                            head("200 OK", "own", BODY) + "3\r\nown\r\n" + OWN,
                            partly));
            return rows.stream();
        }

        static Stream<Row> withoutALength() {
            final String bytes = head("200 OK", "own", "") + "own body";
            final Outcome partly = outcome(200, "own body", Progress.FAILED, Place.CLOSED);
            return Stream.of(
                    row("open", bytes, outcome(200, "own body", Progress.OPEN, Place.IN_USE)),
                    row("end", bytes, Ending.IN_ORDER, complete(Place.CLOSED)),
                    row("reset", bytes, Ending.RESET_IN_READ, partly),
                    row("reset", bytes, Ending.RESET_IN_SAME_READ, partly),
                    row("reset", bytes, Ending.RESET_IN_WRITE, partly));
        }

        @ParameterizedTest
        @MethodSource("cutOff")
        void isNeverComplete(final Row row) {
            check(row, UpstreamConnectionTable::used);
        }

        @ParameterizedTest
        @MethodSource("withoutALength")
        void endsOnlyInOrder(final Row row) {
            check(row, UpstreamConnectionTable::used);
        }
    }

    /** Covers the other states. */
    @Nested
    class OtherStates {
        private static final String REST = "rest";

        private Supplier<RecordingListener> partlyWritten(final UpstreamConnectionHarness harness) {
            harness.holdWrites();
            return fresh(harness);
        }

        private Supplier<RecordingListener> skipping(final UpstreamConnectionHarness harness) {
            final Supplier<RecordingListener> exchange = used(harness);
            harness.read(head("200 OK", "previous", "Content-Length: 6\r\n") + "hi");
            return exchange;
        }

        private Supplier<RecordingListener> ignoring(final UpstreamConnectionHarness harness) {
            final RecordingListener listener =
                    harness.send("own", HttpMethod.POST, new RefusedListener(harness.connection()));
            harness.read(head(REFUSED, "own", "Content-Length: 6\r\n") + "hi");
            return () -> listener;
        }

        private Supplier<RecordingListener> cancelled(final UpstreamConnectionHarness harness) {
            final Supplier<RecordingListener> exchange = used(harness);
            harness.read(head("200 OK", "own", "Content-Length: 6\r\n") + "hi");
            harness.connection().cancel();
            return exchange;
        }

        static Stream<Row> whilePartlyWritten() {
            final List<Row> rows = new ArrayList<>();
            rows.add(row("own", OWN, complete(Place.CLOSED)));
            rows.add(row("other", response("200 OK", "other", "x"), waiting()));
            rows.add(row("own, own", OWN + OWN, complete(Place.CLOSED)));
            rows.addAll(endings("nothing, then", "", failed()));
            return rows.stream();
        }

        static Stream<Row> whileSkipping() {
            final List<Row> rows = new ArrayList<>();
            rows.add(row("rest", REST, waiting()));
            rows.add(row("rest, own", REST + OWN, complete(Place.POOLED)));
            rows.add(row("rest, no id", REST + response("200 OK", "", "x"), failed()));
            rows.add(row("rest, garbage", REST + "garbage\r\n\r\n", failed()));
            rows.addAll(endings("rest, then", REST, failed()));
            rows.addAll(endings("nothing, then", "", failed()));
            return rows.stream();
        }

        static Stream<Row> whileIgnoring() {
            final List<Row> rows = new ArrayList<>();
            rows.add(row("rest", REST, ignored(Place.POOLED)));
            rows.add(row("rest, own", REST + OWN, ignored(Place.CLOSED)));
            rows.add(row("nothing", "", ignored(Place.IN_USE)));
            rows.addAll(endings("rest, then", REST, ignored(Place.CLOSED)));
            rows.addAll(endings("nothing, then", "", ignored(Place.CLOSED)));
            return rows.stream();
        }

        private static Outcome ignored(final Place place) {
            return outcome(503, "", Progress.OPEN, place);
        }

        static Stream<Row> whileCancelled() {
            final Outcome expected = outcome(200, "hi", Progress.OPEN, Place.CLOSED);
            final List<Row> rows = new ArrayList<>();
            rows.add(row("rest", REST, expected));
            rows.add(row("rest, own", REST + OWN, expected));
            rows.addAll(endings("nothing, then", "", expected));
            return rows.stream();
        }

        @ParameterizedTest
        @MethodSource
        void whilePartlyWritten(final Row row) {
            check(row, this::partlyWritten);
        }

        @ParameterizedTest
        @MethodSource
        void whileSkipping(final Row row) {
            check(row, this::skipping);
        }

        @ParameterizedTest
        @MethodSource
        void whileIgnoring(final Row row) {
            check(row, this::ignoring);
        }

        @ParameterizedTest
        @MethodSource
        void whileCancelled(final Row row) {
            check(row, this::cancelled);
        }
    }

    /** Ignores the rest of a refusal, as a call does. */
    private static final class RefusedListener extends RecordingListener {
        private final UpstreamConnection mConnection;

        RefusedListener(final UpstreamConnection connection) {
            mConnection = connection;
        }

        @Override
        public void onHeaders(final HttpResponse response, final ReplicaHeaders replicaHeaders) {
            super.onHeaders(response, replicaHeaders);
            mConnection.ignoreRest();
        }
    }
}
