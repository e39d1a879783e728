package io.persimmonreel.cli;

import static org.assertj.core.api.Assertions.assertThat;

import io.persimmonreel.core.config.Configuration;
import io.persimmonreel.core.config.OperatorTextParser;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class AttemptLogTest {
    private static final Call CHARGE = Call.plain("charge", "{}", "key-0001");

    private AttemptLog mAttemptLog;

    @BeforeEach
    void createLog() throws Exception {
        final Configuration configuration =
                new OperatorTextParser().parse("demo", 1, DemoOperatorText.read(3));
        mAttemptLog = new AttemptLog(configuration);
    }

    private static Answer answer(final String outcome, final String fault) {
        final boolean ran = Answer.RAN.equals(outcome);
        return new Answer(
                ran ? 200 : 503, "r1", outcome, ran ? "" : "t", "", 0, "", 0, fault, 1, 2);
    }

    private void add(final String outcome, final long start, final long end) {
        mAttemptLog.add(new Attempt(CHARGE, answer(outcome, ""), start, end));
    }

    private List<String> violations(final int keyRuns) {
        return mAttemptLog.violations(Map.of("key-0001", keyRuns), Map.of("r1", 1));
    }

    @Nested
    class Guarantees {
        @Test
        void holdForOneRun() {
            add(Answer.RAN, 0, 10);
            add("may-have-run", 1, 9);
            assertThat(violations(1)).isEmpty();
        }

        /** Guards against a check that misses a second run or a second dispatch. */
        @Test
        void areViolatedByASecondRun() {
            add(Answer.RAN, 0, 10);
            assertThat(violations(2)).hasSize(1);
            assertThat(mAttemptLog.violations(Map.of("key-0001", 1), Map.of("r1", 2))).hasSize(1);
        }

        /** Guards against a check that misses a not-run answer for a request that ran. */
        @Test
        void areViolatedByAFalseNotRun() {
            add("not-run", 0, 10);
            add(Answer.RAN, 5, 20);
            assertThat(violations(1)).hasSize(1);
        }

        @Test
        void holdIfALaterAttemptRuns() {
            add("not-run", 0, 10);
            add(Answer.RAN, 11, 20);
            assertThat(violations(1)).isEmpty();
        }

        /** Guards against a check that misses answers without a run, or of another request. */
        @Test
        void areViolatedByAnAnswerWithoutARunOrWithAFault() {
            add(Answer.RAN, 0, 10);
            assertThat(violations(0)).hasSize(1);
            mAttemptLog.add(new Attempt(CHARGE, answer(Answer.RAN, "crossed"), 0, 1));
            assertThat(violations(1)).hasSize(1);
        }
    }

    @Nested
    class Goodput {
        @Test
        void countsRepeatsOfAKeyOnce() {
            add(Answer.RAN, 0, 10);
            add(Answer.RAN, 11, 20);
            final ByteArrayOutputStream out = new ByteArrayOutputStream();
            mAttemptLog.printGoodput(new PrintStream(out, true, StandardCharsets.UTF_8), 1);
            assertThat(out.toString(StandardCharsets.UTF_8)).contains("urgent").contains("100.00%");
            assertThat(out.toString(StandardCharsets.UTF_8)).doesNotContain("        2 ");
        }
    }
}
