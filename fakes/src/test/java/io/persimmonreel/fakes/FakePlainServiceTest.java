package io.persimmonreel.fakes;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.persimmonreel.fakes.Fault.Kind;
import java.io.IOException;
import java.net.http.HttpResponse;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class FakePlainServiceTest {
    private final FakePlainService mService =
            new FakePlainService("p1", "127.0.0.1", 0, 4, 1, true);
    private final TestClient mClient = new TestClient(mService);

    @BeforeEach
    void start() throws IOException {
        mService.start();
    }

    @AfterEach
    void stop() {
        mService.stop();
    }

    private HttpResponse<String> run(final String id, final String key) throws Exception {
        return mClient.send(
                "POST", "/v1/run", "{\"a\":1}", "Request-Id", id, "Idempotency-Key", key);
    }

    @Nested
    class Runs {
        @Test
        void areCountedByKeyAndRequestId() throws Exception {
            final HttpResponse<String> first = run("r1", "key-0001");
            assertThat(first.headers().firstValue("Request-Id")).contains("r1");
            assertThat(first.body()).contains(FakePlainService.expectedResult("{\"a\":1}"));
            assertThat(run("r2", "key-0001").statusCode()).isEqualTo(409);
            assertThat(mService.runs().byKey()).containsEntry("key-0001", 1);
            assertThat(mService.runs().byRequestId()).containsOnlyKeys("r1");
            assertThat(mService.runs().keysRefused()).isEqualTo(1);
        }
    }

    @Nested
    class Faults {
        /** Guards against a request that ran but is not counted because its response was lost. */
        @Test
        void breakAfterReadCountsTheRun() throws Exception {
            mService.faults().add(Fault.of(Kind.BREAK_AFTER_READ).withTimes(2));
            assertThatThrownBy(() -> run("r3", "key-0003")).isInstanceOf(IOException.class);
            assertThat(mService.runs().byKey()).containsKey("key-0003");
        }

        @Test
        void truncateSwapTheRequestIdOrDelayTheAnswer() throws Exception {
            mService.faults().add(Fault.of(Kind.TRUNCATE));
            assertThatThrownBy(() -> run("r4", "key-0004")).isInstanceOf(IOException.class);
            mService.faults().add(Fault.of(Kind.CROSSED_ID));
            assertThat(run("r5", "key-0005").headers().firstValue("Request-Id").orElse(""))
                    .isNotEqualTo("r5");
            mService.faults().add(Fault.of(Kind.LATE_ANSWER).withMillis(5));
            assertThat(run("r6", "key-0006").statusCode()).isEqualTo(200);
        }
    }
}
