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
import static io.persimmonreel.daemon.relay.UpstreamConnectionTable.head;
import static io.persimmonreel.daemon.relay.UpstreamConnectionTable.outcome;
import static io.persimmonreel.daemon.relay.UpstreamConnectionTable.response;
import static io.persimmonreel.daemon.relay.UpstreamConnectionTable.row;
import static io.persimmonreel.daemon.relay.UpstreamConnectionTable.run;
import static io.persimmonreel.daemon.relay.UpstreamConnectionTable.waiting;
import static org.assertj.core.api.Assertions.assertThat;

import io.persimmonreel.daemon.relay.RecordingListener.Progress;
import io.persimmonreel.daemon.relay.UpstreamConnectionTable.Ending;
import io.persimmonreel.daemon.relay.UpstreamConnectionTable.Place;
import io.persimmonreel.daemon.relay.UpstreamConnectionTable.Row;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Covers a request whose response has not begun, for each event on its connection. */
class UpstreamConnectionWaitingTest {
    /** Covers a request that was written and whose response has not arrived. */
    @Nested
    class Waiting {
        static Stream<Row> onAnyConnection() {
            final List<Row> rows = new ArrayList<>();
            rows.add(row("own", OWN, complete(Place.POOLED)));
            rows.add(row("chunked", chunked("200 OK", "own", "own body"), complete(Place.POOLED)));
            rows.add(row("other", response("200 OK", "other", "x"), waiting()));
            rows.add(row("previous", PREVIOUS, waiting()));
            rows.add(row("without an id", response("200 OK", "", "x"), failed()));
            rows.add(row("failure without an id", response(FAILURE, "", "x"), failed()));
            rows.add(row("unsigned", OWN.replace("Signature", "Other"), failed()));
            rows.add(row("garbage", "garbage\r\n\r\n", failed()));
            rows.add(row("half a head", "HTTP/1.1 200 OK\r\nPersimmonr", waiting()));
            rows.addAll(endings("nothing, then", "", failed()));
            rows.addAll(endings("half a head, then", "HTTP/1.1 200 OK\r\nPersimm", failed()));
            rows.addAll(endings("other, then", response("200 OK", "other", "x"), failed()));
            rows.addAll(endings("interim, then", "HTTP/1.1 100 Continue\r\n\r\n", failed()));
            return rows.stream();
        }

        static Stream<Row> beforeTheOwnResponse() {
            return Stream.of(
                    row("continue", "HTTP/1.1 100 Continue\r\n\r\n", null),
                    row("processing", "HTTP/1.1 102 Processing\r\n\r\n", null),
                    row("hints", "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n", null),
                    row("interim of the previous", head("100 Continue", "previous", ""), null),
                    row("other", response("200 OK", "other", "x"), null),
                    row("other failure", response(FAILURE, "other", "x"), null),
                    row("previous", PREVIOUS, null),
                    row("previous failure", response(FAILURE, "previous", "x"), null),
                    row("previous refusal", response(REFUSED, "previous", "x"), null),
                    row("previous in chunks", chunked("200 OK", "previous", "hi"), null),
                    row("previous, empty", head("204 No Content", "previous", ""), null),
                    row(
                            "previous, not modified",
                            head("304 Not Modified", "previous", "Content-Length: 9\r\n"),
                            null));
        }

        @ParameterizedTest
        @MethodSource("onAnyConnection")
        void onANewConnection(final Row row) {
            check(row, UpstreamConnectionTable::fresh);
        }

        @ParameterizedTest
        @MethodSource("onAnyConnection")
        void onAUsedConnection(final Row row) {
            check(row, UpstreamConnectionTable::used);
        }

        @ParameterizedTest
        @MethodSource("beforeTheOwnResponse")
        void skipsWhatComesBeforeTheOwnResponse(final Row row) {
            final Row extended =
                    row(row.name() + ", own", row.bytes() + OWN, complete(Place.POOLED));
            check(extended, UpstreamConnectionTable::fresh);
            check(extended, UpstreamConnectionTable::used);
        }

        @ParameterizedTest
        @MethodSource("beforeTheOwnResponse")
        void passesOnAFailureAfterASkippedResponse(final Row row) {
            check(
                    row(
                            row.name() + ", own failure",
                            row.bytes() + response(FAILURE, "own", "failure"),
                            outcome(500, "failure", Progress.COMPLETE, Place.POOLED)),
                    UpstreamConnectionTable::used);
        }
    }

    /** Covers responses without an attempt id that state that the request did not run. */
    @Nested
    class RefusalWithoutAnId {
        static Stream<String> statuses() {
            return Stream.of(REFUSED, "421 Misdirected Request");
        }

        @ParameterizedTest
        @MethodSource("statuses")
        void isTheResponseOnANewConnection(final String status) {
            final int code = Integer.parseInt(status.substring(0, 3));
            check(
                    row(
                            status,
                            response(status, "", "no"),
                            outcome(code, "no", Progress.COMPLETE, Place.POOLED)),
                    UpstreamConnectionTable::fresh);
        }

        @ParameterizedTest
        @MethodSource("statuses")
        void isNoResponseOnAUsedConnection(final String status) {
            check(row(status, response(status, "", "no"), failed()), UpstreamConnectionTable::used);
        }
    }

    /** Covers late responses whose end can't be told from the response to the request. */
    @Nested
    class LateResponseWithoutAnEnd {
        static Stream<Row> rows() {
            final List<Row> rows = new ArrayList<>();
            for (final Ending ending : Ending.values()) {
                if (ending == Ending.NONE) {
                    continue;
                }
                rows.add(
                        row(
                                "no length",
                                head("200 OK", "previous", "") + "hi" + OWN,
                                ending,
                                failed()));
                rows.add(
                        row(
                                "cut off in a chunk",
                                head("200 OK", "previous", "Transfer-Encoding: chunked\r\n")
                                        + "9\r\nhi"
                                        + OWN,
                                ending,
                                failed()));
                rows.add(
                        row(
                                "cut off after a chunk",
                                head("200 OK", "previous", "Transfer-Encoding: chunked\r\n")
                                        + "2\r\nhi\r\n"
                                        + OWN,
                                ending,
                                failed()));
                rows.add(
                        row(
                                "longer than sent",
                                head("200 OK", "previous", "Content-Length: 9999\r\n") + OWN,
                                ending,
                                failed()));
                rows.add(
                        row(
                                "to a HEAD request",
                                head("200 OK", "previous", "Content-Length: 7\r\n") + OWN,
                                ending,
                                failed()));
            }
            return rows.stream();
        }

        @ParameterizedTest
        @MethodSource("rows")
        void failsTheRequest(final Row row) {
            check(row, UpstreamConnectionTable::used);
        }
    }

    /** Covers responses in which more than one attempt id or no plain final status is given. */
    @Nested
    class AmbiguousResponse {
        static Stream<Row> rows() {
            final String other = "Persimmonreel-Attempt: other\r\n";
            return Stream.of(
                    row("own id first", OWN.replace("Content-L", other + "Content-L"), failed()),
                    row("other id first", OWN.replace("Persimm", other + "Persimm"), failed()),
                    row("upgrade", "HTTP/1.1 101 Switching Protocols\r\n\r\n", failed()),
                    row("upgrade, own", "HTTP/1.1 101 Switching Protocols\r\n\r\n" + OWN, failed()),
                    row("bytes before the head", "xx" + OWN, failed()));
        }

        @ParameterizedTest
        @MethodSource("rows")
        void failsTheRequest(final Row row) {
            check(row, UpstreamConnectionTable::used);
        }
    }

    /** Covers a late response that is cut off and joined with the response to the request. */
    @Nested
    class LateResponseThatIsCutOff {
        private static final String LAST_ID =
                head("200 OK", "", "Content-Length: 2\r\nPersimmonreel-Attempt: previous\r\n");

        static Stream<String> late() {
            return Stream.of(PREVIOUS, LAST_ID + "hi");
        }

        /** Guards against a success that is made of two heads. */
        @ParameterizedTest
        @MethodSource("late")
        void doesNotMakeAFailureASuccess(final String late) {
            final String failure = response(FAILURE, "own", "failure");
            for (int length = 1; length <= late.length(); length++) {
                final String part = late.substring(0, length);
                for (final List<String> reads :
                        List.of(List.of(part + failure), List.of(part, failure))) {
                    assertThat(run(Ending.NONE, UpstreamConnectionTable::used, reads).status())
                            .as("reads %s", reads)
                            .isIn(0, 500);
                }
            }
        }

        @ParameterizedTest
        @MethodSource("late")
        void doesNotMakeASuccessAFailure(final String late) {
            final String failure = late.replace("200 OK", FAILURE);
            for (int length = 1; length <= failure.length(); length++) {
                final String part = failure.substring(0, length);
                final List<String> reads = List.of(part, OWN);
                assertThat(run(Ending.NONE, UpstreamConnectionTable::used, reads).status())
                        .as("reads %s", reads)
                        .isIn(0, 200);
            }
        }
    }
}
