import java.io.BufferedInputStream;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;

/** A replica is killed within an answer without a length, while the request is still being sent. */
public final class EarlyAnswerReset {
    private static final int BODY_BYTES = 4_000_000;
    private static final int REPLICAS = 4;
    private static final int ROUNDS = 6;

    private EarlyAnswerReset() {}

    private record Replica(String id, Process process, BufferedReader lines) {}

    public static void main(final String[] arguments) throws Exception {
        final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int broken = 0;
        int unserved = 0;
        final List<Replica> replicas = new ArrayList<>();
        try (Record record = new Record(Path.of(arguments[0]));
                Deployment deployment = new Deployment(1)) {
            deployment.configure(
                    1,
                    "[" + Deployment.route("report", "/report/", "non_idempotent", 15_000, 800, "api", 1)
                            + "]",
                    "[" + Deployment.backend("api") + "]",
                    "[]");
            for (int i = 0; i < REPLICAS; i++) {
                replicas.add(start("i-" + i, deployment));
            }
            if (!deployment.start()) {
                record.line("the relay did not get ready");
                System.exit(2);
            }
            for (int round = 0; round < ROUNDS; round++) {
                final String attempt = String.format("%016x", 0x5eed0000L + round);
                final byte[] body = new byte[BODY_BYTES];
                new Random(round).nextBytes(body);
                try (Socket socket = new Socket("127.0.0.1", deployment.relay(0).callerPort())) {
                    socket.setSoTimeout(20_000);
                    final OutputStream out = socket.getOutputStream();
                    out.write(
                            ("POST /report/day HTTP/1.1\r\nHost: " + Deployment.HOST
                                            + "\r\nAttempt-Id: " + attempt
                                            + "\r\nDeadline-Ms: 15000\r\nContent-Length: " + BODY_BYTES
                                            + "\r\n\r\n")
                                    .getBytes(StandardCharsets.US_ASCII));
                    out.write(body);
                    out.flush();
                    record.line("sent %s with a body of %d bytes", attempt, BODY_BYTES);
                    final Replica runner = awaitRunner(replicas);
                    if (runner == null) {
                        record.line("no replica ran %s", attempt);
                        unserved++;
                        continue;
                    }
                    record.line("replica %s runs %s and answers", runner.id(), attempt);
                    if (trouble) {
                        Thread.sleep(400);
                        runner.process().destroyForcibly().waitFor();
                        record.line("replica %s was killed", runner.id());
                    }
                    final Http.Answer answer =
                            Http.readAnswer(new BufferedInputStream(socket.getInputStream()));
                    final byte[] whole = EarlyReplica.answer(attempt);
                    if (answer == null) {
                        record.line("answer to %s: closed", attempt);
                        unserved++;
                    } else {
                        final boolean same = Arrays.equals(whole, answer.body());
                        record.line(
                                "answer to %s: %s, signature %s, complete %s, %d bytes; the replica's"
                                        + " whole body has %d, same %s",
                                attempt, answer.head().line(),
                                answer.head().field("Replica-Signature"), answer.complete(),
                                answer.body().length, whole.length, same);
                        if (answer.head().status() == 200 && answer.complete() && !same) {
                            broken++;
                        } else if (answer.head().status() != 200 || !answer.complete()) {
                            unserved++;
                        }
                    }
                    if (trouble) {
                        deployment.store().delete("servers/" + runner.id());
                        replicas.remove(runner);
                        replicas.add(start("i-" + (REPLICAS + round), deployment));
                    }
                    Thread.sleep(2_500);
                }
            }
            record.line("%d of %d answers were cut off and looked complete", broken, ROUNDS);
            record.line("%d of %d requests were not served", unserved, ROUNDS);
        } finally {
            replicas.forEach(replica -> replica.process().destroyForcibly());
        }
        System.exit(broken > 0 ? 1 : !trouble && unserved > 0 ? 2 : 0);
    }

    /** Waits until a replica says that it runs a request. */
    private static Replica awaitRunner(final List<Replica> replicas) throws Exception {
        for (int i = 0; i < 300; i++) {
            for (final Replica replica : replicas) {
                while (replica.lines().ready()) {
                    if (replica.lines().readLine().startsWith("runs")) {
                        return replica;
                    }
                }
            }
            Thread.sleep(10);
        }
        return null;
    }

    private static Replica start(final String id, final Deployment deployment) throws IOException {
        final Process process =
                Processes.track(
                        new ProcessBuilder(
                                        "java", "-Xmx64m", "-cp",
                                        System.getProperty("java.class.path"), "EarlyReplica", id)
                                .redirectError(ProcessBuilder.Redirect.DISCARD)
                                .start());
        final BufferedReader lines =
                new BufferedReader(new InputStreamReader(process.getInputStream()));
        deployment.register(id, "api", Integer.parseInt(lines.readLine().split(" ")[1]), 6);
        return new Replica(id, process, lines);
    }
}
