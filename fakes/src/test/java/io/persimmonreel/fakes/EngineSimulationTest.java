package io.persimmonreel.fakes;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class EngineSimulationTest {
    private static final long STEP_NANOS = 4_000_000;

    private final EngineSettings mSettings =
            EngineSettings.of("e1", "g2", 2, "m", "1", true)
                    .withSpeed(new EngineSpeed(1_000, 100))
                    .withKvCapacityTokens(1_000)
                    .withReportDelays(0, 0, 0);
    private final List<Long> mCrashes = new ArrayList<>();
    private final EngineSimulation mSimulation = new EngineSimulation(mSettings, mCrashes::add, 0);
    private long mNow;

    /** Records the tokens that a stream sends. */
    private static final class Reader implements TokenSink {
        final StringBuilder mText = new StringBuilder();
        int mTokens;
        int mTokensAtEnd = -1;

        @Override
        public void token(final int index, final String text) {
            mText.append(text);
            mTokens++;
        }

        @Override
        public void end(final int tokens) {
            mTokensAtEnd = tokens;
        }

        @Override
        public void close() {}

        @Override
        public void abort() {}
    }

    private static EngineStream stream(
            final String id, final int promptTokens, final int tokens, final TokenSink sink) {
        final String prompt = id + " tokens=" + tokens;
        return new EngineStream(
                new EngineStream.Work(id, prompt, promptTokens, "p", promptTokens / 2, tokens),
                sink);
    }

    private void run(final double seconds) {
        final long end = mNow + Math.round(seconds * 1e9);
        while (mNow < end) {
            mNow += STEP_NANOS;
            mSimulation.step(mNow, 1.0);
        }
    }

    @Nested
    class Batching {
        /** Guards against prefill or decoding at another speed than the configured one. */
        @Test
        void runsAtTheConfiguredSpeed() {
            final Reader reader = new Reader();
            mSimulation.start(stream("a", 500, 50, reader));
            run(0.49);
            assertThat(reader.mTokens).isZero();
            run(0.02);
            assertThat(reader.mTokens).isBetween(1, 2);
            run(0.6);
            assertThat(reader.mTokensAtEnd).isEqualTo(50);
            assertThat(reader.mText.toString())
                    .isEqualTo(FakeEngine.expectedText("a tokens=50", 50));
        }

        /** Guards against a batch with more streams than the engine's concurrency. */
        @Test
        void makesStreamsBeyondTheConcurrencyWait() {
            for (final String id : List.of("a", "b", "c")) {
                mSimulation.start(stream(id, 100, 50, new Reader()));
            }
            run(0.05);
            assertThat(mSimulation.load().running()).isEqualTo(2);
            assertThat(mSimulation.load().waiting()).isEqualTo(1);
        }
    }

    @Nested
    class Memory {
        /** Guards against a prefix cache that saves no prefill or grows without limit. */
        @Test
        void savesPrefillOfACachedPrefixAndEvictsWhenFull() {
            mSimulation.start(stream("a", 400, 5, new Reader()));
            run(1);
            mSimulation.start(stream("b", 400, 5, new Reader()));
            run(1);
            assertThat(mSimulation.stats(0, 0).prefillTokensDone()).isEqualTo(600);
            mSimulation.start(stream("c", 900, 5, new Reader()));
            run(2);
            assertThat(mSimulation.events(0, mNow))
                    .extracting(PrefixCache.Event::kind)
                    .contains("stored", "evicted");
            assertThat(mSimulation.load().kvUsedTokens()).isLessThanOrEqualTo(1_000);
        }
    }

    @Nested
    class PausingAndMoving {
        /** Guards against a resumed stream that loses or repeats tokens or runs twice. */
        @Test
        void resumesAtTheRequestedIndexWithoutPrefill() {
            final Reader first = new Reader();
            mSimulation.start(stream("a", 100, 50, first));
            run(0.3);
            assertThat(mSimulation.pause("a")).contains(first.mTokens);
            run(0.3);
            final Reader second = new Reader();
            assertThat(mSimulation.resume("a", first.mTokens, second)).isTrue();
            run(1);
            assertThat(second.mTokensAtEnd).isEqualTo(50);
            assertThat(first.mText.toString() + second.mText)
                    .isEqualTo(FakeEngine.expectedText("a tokens=50", 50));
            assertThat(mSimulation.stats(0, 0).prefillTokensDone()).isEqualTo(100);
            assertThat(mSimulation.stats(0, 0).runs()).containsEntry("a", 1);
        }

        /** Guards against an import that repeats the prefill done by the exporting engine. */
        @Test
        void continuesAnImportedStreamWithoutPrefill() {
            mSimulation.start(stream("a", 100, 50, new Reader()));
            run(0.3);
            final KvState state = mSimulation.export("a").orElseThrow();
            final EngineSimulation importer = new EngineSimulation(mSettings, mCrashes::add, mNow);
            assertThat(importer.importState(state, mNow)).isTrue();
            final Reader reader = new Reader();
            assertThat(importer.resume("a", 0, reader)).isTrue();
            for (int i = 1; i < 300; i++) {
                importer.step(mNow + i * STEP_NANOS, 1.0);
            }
            assertThat(reader.mText.toString())
                    .isEqualTo(FakeEngine.expectedText("a tokens=50", 50));
            assertThat(importer.stats(0, 0).prefillTokensDone()).isZero();
        }

        /** Guards against counting prefill as discarded although another engine imported it. */
        @Test
        void countsDiscardedPrefillOfAnExportedStreamAtTheImporterOnly() {
            mSimulation.start(stream("a", 100, 50, new Reader()));
            run(0.3);
            final KvState state = mSimulation.export("a").orElseThrow();
            final EngineSimulation importer = new EngineSimulation(mSettings, mCrashes::add, mNow);
            assertThat(importer.importState(state, mNow)).isTrue();
            mSimulation.discard("a");
            assertThat(mSimulation.stats(0, 0).prefillTokensDiscarded()).isZero();
            importer.crash();
            assertThat(importer.stats(0, 0).prefillTokensDiscarded()).isEqualTo(100);
        }

        /** Guards against lost or repeated prefill that is not counted. */
        @Test
        void countsPrefillLostInACrashAndRepeatedAfterIt() {
            mSimulation.start(stream("a", 100, 50, new Reader()));
            run(0.2);
            mSimulation.crash();
            assertThat(mSimulation.resume("a", 0, new Reader())).isFalse();
            mSimulation.start(stream("a", 100, 50, new Reader()));
            run(1);
            final EngineStats stats = mSimulation.stats(0, 0);
            assertThat(stats.prefillTokensDiscarded()).isEqualTo(100);
            assertThat(stats.prefillTokensRestarted()).isEqualTo(100);
            assertThat(stats.runs()).containsEntry("a", 2);
        }
    }
}
