package io.persimmonreel.daemon.request;

import static org.assertj.core.api.Assertions.assertThat;

import io.persimmonreel.core.request.Outcome;
import io.persimmonreel.core.request.Problem;
import io.persimmonreel.core.request.ProblemType;
import io.persimmonreel.core.schedule.Directive;
import io.persimmonreel.core.service.ReplicaSpec;
import io.persimmonreel.daemon.request.RequestCoordinatorFixture.Caller;
import io.persimmonreel.daemon.upstream.ScriptedUpstream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class RequestCoordinatorTest {
    private ScriptedUpstream mUpstream;
    private RequestCoordinatorFixture mFixture;

    @BeforeEach
    void start() throws Exception {
        mUpstream = new ScriptedUpstream();
        mFixture = new RequestCoordinatorFixture(mUpstream.replica("r1"));
    }

    @AfterEach
    void stop() throws Exception {
        mFixture.close();
        mUpstream.close();
    }

    private long count(final String line) {
        return mUpstream.requestLines().stream().filter(each -> each.startsWith(line)).count();
    }

    @Nested
    class Streams {
        /** Guards against returning a truncated stream as an answer, or starting it again. */
        @Test
        void resumeAtTheNextTokenAfterABreak() throws Exception {
            mUpstream.addScript(
                    x -> {
                        x.startEventStream();
                        x.sendToken("q1", 0, "a");
                    });
            scriptResume("q1");
            final Caller caller = mFixture.submit("q1", "draft");
            assertThat(new String(caller.awaitAnswer().body())).contains("\"text\":\"ab\"");
            assertThat(caller.tokens).containsExactly("a", "b");
            assertThat(count("POST /v1/streams HTTP")).isEqualTo(1);
        }

        /** Guards against passing the caller tokens that belong to another stream. */
        @Test
        void ignoreTokensOfAnotherStream() throws Exception {
            mUpstream.addScript(
                    x -> {
                        x.startEventStream();
                        x.sendToken("q1", 0, "a");
                        x.sendToken("q9", 1, "x");
                    });
            scriptResume("q1");
            final Caller caller = mFixture.submit("q1", "draft");
            assertThat(caller.awaitAnswer().tokens()).isEqualTo(2);
            assertThat(caller.tokens).containsExactly("a", "b");
        }

        /** Guards against a pause that loses or repeats tokens, or starts the stream again. */
        @Test
        void resumeAfterAPause() throws Exception {
            final CountDownLatch paused = new CountDownLatch(1);
            mUpstream
                    .addScript(
                            x -> {
                                x.startEventStream();
                                x.sendToken("q1", 0, "a");
                                x.awaitClose();
                            })
                    .addScript(
                            x -> {
                                x.sendJson(200, "", "{}");
                                paused.countDown();
                            });
            final Caller caller = mFixture.submit("q1", "draft");
            RequestCoordinatorFixture.await(() -> caller.tokens.size() == 1);
            mFixture.scheduler.addDirective(new Directive.Pause("q1", "r1"));
            assertThat(paused.await(20, TimeUnit.SECONDS)).isTrue();
            scriptResume("q1");
            mFixture.scheduler.addDirective(new Directive.Resume("q1", "r1", ""));
            assertThat(caller.awaitAnswer().tokens()).isEqualTo(2);
            assertThat(mFixture.scheduler.events()).doesNotContain("BROKEN");
            assertThat(count("POST /v1/streams HTTP")).isEqualTo(1);
        }

        /** Guards against an engine that keeps generating for a caller that disconnected. */
        @Test
        void areCancelledWhenTheCallerDisconnects() throws Exception {
            final CompletableFuture<Void> closed = new CompletableFuture<>();
            mUpstream.addScript(
                    x -> {
                        x.startEventStream();
                        x.sendToken("q1", 0, "a");
                        x.awaitClose();
                        closed.complete(null);
                    });
            final Caller caller = mFixture.submit("q1", "draft");
            RequestCoordinatorFixture.await(() -> caller.tokens.size() == 1);
            mFixture.coordinator.cancel("q1");
            closed.get(20, TimeUnit.SECONDS);
            RequestCoordinatorFixture.await(() -> count("DELETE /v1/streams/q1 ") == 1);
            assertThat(mFixture.scheduler.events()).contains("CANCELLED");
        }

        /**
         * Guards against a move to another replica that loses or repeats tokens, or starts again.
         */
        @Test
        void moveToAnotherReplicaWithTheirKvCache() throws Exception {
            try (ScriptedUpstream other = new ScriptedUpstream()) {
                mFixture.close();
                mFixture =
                        new RequestCoordinatorFixture(mUpstream.replica("r1"), other.replica("r2"));
                mUpstream
                        .addScript(
                                x -> {
                                    x.startEventStream();
                                    x.sendToken("q1", 0, "a");
                                    x.awaitClose();
                                })
                        .addScript(x -> x.sendJson(200, "", "{}"))
                        .addScript(x -> x.sendJson(200, "", "{\"kv\":1}"));
                other.addScript(
                                x -> {
                                    assertThat(x.line()).startsWith("PUT /v1/streams/q1/kv");
                                    assertThat(x.body()).isEqualTo("{\"kv\":1}");
                                    x.sendJson(200, "", "{}");
                                })
                        .addScript(
                                x -> {
                                    assertThat(x.body()).isEqualTo("{\"from\":1}");
                                    x.startEventStream();
                                    x.sendToken("q1", 1, "b");
                                    x.sendEnd("q1", 2);
                                });
                final Caller caller = mFixture.submit("q1", "draft");
                RequestCoordinatorFixture.await(() -> caller.tokens.size() == 1);
                mFixture.scheduler.addDirective(new Directive.Pause("q1", "r1"));
                mFixture.scheduler.addDirective(new Directive.Resume("q1", "r2", "r1"));
                assertThat(caller.awaitAnswer().tokens()).isEqualTo(2);
                assertThat(caller.tokens).containsExactly("a", "b");
                assertThat(other.requestLines())
                        .noneMatch(line -> line.startsWith("POST /v1/streams HTTP"));
            }
        }

        private void scriptResume(final String id) {
            // The crash probe may request the load before the stream is resumed.
            final ScriptedUpstream.Script resume =
                    x -> {
                        if (x.line().startsWith("GET /v1/load")) {
                            x.sendJson(200, "", "{\"replica\":\"r1\"}");
                            scriptResume(id);
                            return;
                        }
                        assertThat(x.line()).startsWith("POST /v1/streams/" + id + "/resume");
                        assertThat(x.body()).isEqualTo("{\"from\":1}");
                        x.startEventStream();
                        x.sendToken(id, 1, "b");
                        x.sendEnd(id, 2);
                    };
            mUpstream.addScript(resume);
        }
    }

    @Nested
    class PlainRequests {
        /** Guards against a second run of a charge whose connection broke after the first byte. */
        @Test
        void areNeverDispatchedAgainAfterTheFirstByte() throws Exception {
            mUpstream.addScript(x -> x.socket().close());
            final Problem problem = mFixture.submit("q1", "charge").awaitProblem();
            assertThat(problem.outcome()).isEqualTo(Outcome.MAY_HAVE_RUN);
            assertThat(problem.type()).isEqualTo(ProblemType.OUTCOME_UNKNOWN);
            RequestCoordinatorFixture.await(
                    () -> mFixture.claims.events.contains("finished may-have-run"));
            // The HTTP client may repeat a GET by itself, so the probe is counted at least once.
            RequestCoordinatorFixture.await(() -> count("GET /v1/load") >= 1);
            assertThat(count("POST /v1/run")).isEqualTo(1);
            assertThat(mFixture.scheduler.events()).doesNotContain("NOT_SENT");
        }

        /** Guards against returning an answer whose request id is that of another request. */
        @Test
        void failOnTheAnswerToAnotherRequest() throws Exception {
            mUpstream.addScript(x -> x.sendJson(200, "Request-Id: q9\r\n", "{}"));
            assertThat(mFixture.submit("q1", "charge").awaitProblem().outcome())
                    .isEqualTo(Outcome.MAY_HAVE_RUN);
        }

        /** Guards against marking the claim as dispatched only after the first byte was sent. */
        @Test
        void areClaimedThenMarkedDispatchedThenFinished() throws Exception {
            mUpstream.addScript(
                    x -> {
                        assertThat(mFixture.claims.events).containsExactly("begin", "dispatched");
                        x.sendJson(200, "Request-Id: q1\r\n", "{\"ok\":1}");
                    });
            final Answer answer = mFixture.submit("q1", "charge").awaitAnswer();
            assertThat(new String(answer.body())).isEqualTo("{\"ok\":1}");
            assertThat(mFixture.claims.events).endsWith("finished ran");
        }

        /** Guards against counting a refused connection as a dispatch. */
        @Test
        void areQueuedAgainWhenTheConnectionIsRefused() throws Exception {
            final int port;
            try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
                port = socket.getLocalPort();
            }
            mFixture.close();
            mFixture =
                    new RequestCoordinatorFixture(
                            new ReplicaSpec("r0", "127.0.0.1:" + port, "z", "g", 1),
                            mUpstream.replica("r1"));
            mUpstream.addScript(x -> x.sendJson(200, "Request-Id: q1\r\n", "{}"));
            assertThat(mFixture.submit("q1", "charge").awaitAnswer().status()).isEqualTo(200);
            assertThat(mFixture.scheduler.events()).contains("NOT_SENT", "ANSWERED");
            RequestCoordinatorFixture.await(() -> mFixture.scheduler.events().contains("DOWN"));
        }

        /**
         * Guards against reporting "not run" while no claim is held, and against a late claim that
         * is never released.
         */
        @Test
        void areNotReportedAsNotRunWithoutAClaim() throws Exception {
            mFixture.claims.grants = false;
            final Caller caller = mFixture.submit("q1", "charge");
            mFixture.coordinator.drain().get(20, TimeUnit.SECONDS);
            assertThat(caller.awaitProblem().outcome()).isEqualTo(Outcome.MAY_HAVE_RUN);
            mFixture.claims.listener.onClaimed(7);
            assertThat(mFixture.claims.events).containsExactly("begin", "renounced");
            assertThat(mFixture.scheduler.waiting()).isEmpty();
        }
    }

    @Nested
    class Draining {
        /**
         * Guards against a shutdown that cuts off a dispatched request, or reports a wrong outcome
         * for a queued one.
         */
        @Test
        void finishesDispatchedAndRefusesQueuedRequests() throws Exception {
            final CountDownLatch drained = new CountDownLatch(1);
            mUpstream.addScript(
                    x -> {
                        x.startEventStream();
                        x.sendToken("q1", 0, "a");
                        drained.await();
                        x.sendEnd("q1", 1);
                    });
            final Caller running = mFixture.submit("q1", "draft");
            RequestCoordinatorFixture.await(() -> running.tokens.size() == 1);
            mFixture.scheduler.setOpen(false);
            final Caller waiting = mFixture.submit("q2", "charge");
            final CompletableFuture<Void> done = mFixture.coordinator.drain();
            assertThat(waiting.awaitProblem().type()).isEqualTo(ProblemType.SHUTTING_DOWN);
            assertThat(waiting.awaitProblem().outcome()).isEqualTo(Outcome.NOT_RUN);
            assertThat(mFixture.claims.events).containsExactly("begin", "renounced");
            assertThat(done).isNotDone();
            drained.countDown();
            assertThat(running.awaitAnswer().tokens()).isEqualTo(1);
            done.get(20, TimeUnit.SECONDS);
        }
    }

    @Nested
    class Crashes {
        /** Guards against omitting suspects that were ended by the crash itself. */
        @Test
        void reportTheRequestsThatRanOnTheReplica() throws Exception {
            mUpstream.addScript(
                    x -> {
                        mUpstream.close();
                        x.socket().close();
                    });
            assertThat(mFixture.submit("q1", "charge").awaitProblem().outcome())
                    .isEqualTo(Outcome.MAY_HAVE_RUN);
            RequestCoordinatorFixture.await(() -> mFixture.crashes.contains("r1[charge]"));
            assertThat(mFixture.scheduler.events()).contains("DOWN");
        }
    }
}
