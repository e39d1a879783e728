package io.persimmonreel.cli;

import static org.assertj.core.api.Assertions.assertThat;

import io.persimmonreel.fakes.FakeEngine;
import io.persimmonreel.fakes.FakePlainService;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.StringReader;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class AnswerReaderTest {
    private static final String TOKENS =
            "event: token\ndata: {\"index\":0,\"text\":\"a \"}\n\n"
                    + "event: token\ndata: {\"index\":1,\"text\":\"b \"}\n\n";

    private static AnswerReader reader(final int status) {
        return new AnswerReader(status, "r1", token -> {}, () -> 5, 2);
    }

    private static Answer events(final String text) throws IOException {
        return reader(200).events(new BufferedReader(new StringReader(text)));
    }

    private static String end(final String id, final int tokens, final String text) {
        return "event: end\ndata: {\"requestId\":\""
                + id
                + "\",\"tokens\":"
                + tokens
                + ",\"sha256\":\""
                + AnswerReader.sha256(text)
                + "\"}\n\n";
    }

    @Nested
    class EventStreams {
        @Test
        void withACompleteAnswerAreGood() throws IOException {
            final Answer answer = events(TOKENS + end("r1", 2, "a b "));
            assertThat(answer.isGood()).isTrue();
            assertThat(answer.text()).isEqualTo("a b ");
            assertThat(answer.totalNanos()).isEqualTo(3);
        }

        /** Guards against accepting a truncated stream as a complete answer. */
        @Test
        void withoutAnEndMarkAreNotAnswered() throws IOException {
            final Answer answer = events(TOKENS);
            assertThat(answer.isAnswered()).isFalse();
            assertThat(answer.outcome()).isEqualTo(Answer.UNKNOWN);
        }

        /**
         * Guards against undetected tokens that are repeated, missing, changed or of another
         * request.
         */
        @ParameterizedTest
        @ValueSource(strings = {"id", "count", "digest", "index", "after"})
        void withADifferenceHaveAFault(final String fault) throws IOException {
            final String text =
                    switch (fault) {
                        case "id" -> TOKENS + end("r2", 2, "a b ");
                        case "count" -> TOKENS + end("r1", 3, "a b ");
                        case "digest" -> TOKENS + end("r1", 2, "a c ");
                        case "index" -> TOKENS + TOKENS + end("r1", 4, "a b a b ");
                        default -> TOKENS + end("r1", 2, "a b ") + TOKENS;
                    };
            final Answer answer = events(text);
            assertThat(answer.isGood()).isFalse();
            assertThat(answer.fault()).isNotEmpty();
        }

        @Test
        void withAProblemHaveItsOutcome() throws IOException {
            final Answer answer =
                    events(
                            TOKENS
                                    + "event: problem\ndata: {\"type\":\"/problems/x\","
                                    + "\"status\":502,\"outcome\":\"may-have-run\"}\n\n");
            assertThat(answer.isAnswered()).isFalse();
            assertThat(LoadResult.label(answer)).isEqualTo("may-have-run x");
        }
    }

    @Nested
    class Bodies {
        @Test
        void ofEnginesAreCheckedAgainstThePrompt() {
            final AnswerCheck check = new AnswerCheck();
            final Call call = Call.engine("s", "pre ", "tokens=3", 10, false);
            final String text = FakeEngine.expectedText("pre tokens=3", 3);
            final Answer answer =
                    reader(200)
                            .body(
                                    "{\"requestId\":\"r1\",\"tokens\":3,\"text\":\"" + text + "\"}",
                                    true);
            assertThat(check.check(call, answer).isGood()).isTrue();
            final Call other = Call.engine("s", "", "tokens=3", 10, false);
            assertThat(check.check(other, answer).isGood()).isFalse();
        }

        @Test
        void ofPlainServicesAreCheckedAgainstTheBody() {
            final AnswerCheck check = new AnswerCheck();
            final String result = FakePlainService.expectedResult("{}");
            final Answer answer = reader(200).body("{\"result\":\"" + result + "\"}", false);
            assertThat(check.check(Call.plain("s", "{}", ""), answer).isGood()).isTrue();
            assertThat(check.check(Call.plain("s", "[]", ""), answer).isGood()).isFalse();
        }

        @Test
        void ofProblemsAreRead() {
            final Answer answer =
                    reader(503).body("{\"type\":\"/problems/y\",\"outcome\":\"not-run\"}", true);
            assertThat(LoadResult.label(answer)).isEqualTo("not-run y");
        }
    }
}
