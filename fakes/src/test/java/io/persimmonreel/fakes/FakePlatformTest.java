package io.persimmonreel.fakes;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class FakePlatformTest {
    private final FakePlatform mPlatform = new FakePlatform(0);
    private final TestClient mClient = new TestClient(mPlatform);

    @BeforeEach
    void start() throws IOException {
        mPlatform.start();
    }

    @AfterEach
    void stop() {
        mPlatform.stop();
    }

    private String read(final String path) throws Exception {
        return mClient.send("GET", path, "").body();
    }

    @Nested
    class Configuration {
        /** Guards against a watch that misses the next version, or does not end without one. */
        @Test
        void watchEndsWithTheNextVersion() throws Exception {
            assertThat(mPlatform.publish("one")).isEqualTo(1);
            assertThat(read("/v1/config")).contains("\"version\":1");
            final CompletableFuture<HttpResponse<String>> watch =
                    mClient.client()
                            .sendAsync(
                                    mClient.request("GET", "/v1/config?after=1&wait=15", ""),
                                    HttpResponse.BodyHandlers.ofString());
            mPlatform.publish("two");
            assertThat(watch.get(20, TimeUnit.SECONDS).body()).contains("\"text\":\"two\"");
            assertThat(mClient.send("GET", "/v1/config?after=2&wait=1", "").statusCode())
                    .isEqualTo(304);
        }

        /** Guards against a waiting watch that still delivers a version during an outage. */
        @Test
        void watchBreaksWhenThePlatformGoesDown() throws Exception {
            mPlatform.publish("one");
            final CompletableFuture<HttpResponse<String>> watch =
                    mClient.client()
                            .sendAsync(
                                    mClient.request("GET", "/v1/config?after=1&wait=15", ""),
                                    HttpResponse.BodyHandlers.ofString());
            while (mPlatform.acceptedReads() == 0) {
                Thread.sleep(5);
            }
            mClient.send("POST", "/faults", "{\"kind\":\"down\"}");
            mPlatform.publish("two");
            assertThatThrownBy(() -> watch.get(20, TimeUnit.SECONDS))
                    .hasCauseInstanceOf(IOException.class);
        }

        @Test
        void canBeStaleOrUnavailable() throws Exception {
            mPlatform.publish("one");
            mPlatform.publish("two");
            mPlatform.serveAtMost(1);
            assertThat(read("/v1/config")).contains("\"version\":1");
            mPlatform.serveNewest();
            assertThat(read("/v1/config")).contains("\"version\":2");
            mPlatform.setDown(true);
            assertThatThrownBy(() -> read("/v1/config")).isInstanceOf(IOException.class);
            mPlatform.setDown(false);
            assertThat(read("/v1/config")).contains("\"version\":2");
        }
    }

    @Nested
    class Hosts {
        @Test
        void canLagBehind() throws Exception {
            final HostEntry host = new HostEntry(0, "127.0.0.1:1", "lahore", "live");
            mPlatform.publishHosts(List.of(host));
            assertThat(read("/v1/hosts")).contains("127.0.0.1:1");
            mPlatform.hostLag(600_000);
            mPlatform.publishHosts(List.of(host.leaving()));
            assertThat(read("/v1/hosts")).doesNotContain("leaving");
            mPlatform.hostLag(0);
            assertThat(read("/v1/hosts")).contains("leaving");
        }
    }

    @Nested
    class ReadLimit {
        /** Guards against waiting watches that don't count toward the limit of reads. */
        @Test
        void countsReadsAndWaitingWatches() {
            final ReadRateLimiter limiter = new ReadRateLimiter(2);
            limiter.watchStarted();
            assertThat(limiter.tryRead(0)).isTrue();
            assertThat(limiter.tryRead(999_999_999)).isFalse();
            assertThat(limiter.tryRead(1_000_000_000)).isTrue();
            limiter.watchEnded();
            assertThat(limiter.tryRead(1_000_000_000)).isTrue();
        }
    }
}
