package io.persimmonreel.cli;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/** Implements the subcommand that sends one request or generates a load. */
final class SendCommand implements Command {
    private static final String NEW_KEY = "new";
    private static final int MAXIMUM_CONCURRENCY = 2_000;
    private static final int MAXIMUM_SECONDS = 3_600;
    private static final int MAXIMUM_RATE_PER_SECOND = 10_000;
    private static final int MAXIMUM_TOKENS = 1_000_000;

    @Override
    public String name() {
        return "send";
    }

    @Override
    public String summary() {
        return "Send one request and print the answer, or generate a load and print latencies.";
    }

    @Override
    public void declare(final FlagDeclarations flags) {
        flags.value("entry", "http://127.0.0.1:8080", "base URLs of entry hosts, comma-separated")
                .value("customer-key", "", "the customer key")
                .value("service", "", "the service id")
                .value("body", "", "JSON body for a plain service; @FILE reads a file")
                .value("prompt", "", "prompt for an engine; @FILE reads a file")
                .value("prefix", "", "shared prefix of the prompt")
                .value("max-output-tokens", "100", "maximum number of tokens in an engine's answer")
                .value("key", "", "idempotency key; 'new' generates one for each request")
                .value("tier", "", "tier, if lower than the service's")
                .value("deadline-millis", "", "deadline in ms, if shorter than the service's")
                .value("parent", "", "id of the request on whose behalf this one is sent")
                .toggle("stream", "read the answer as server-sent events")
                .toggle("json", "print the result of one request as JSON")
                .value("rate", "0", "requests per second; above 0 generates a load")
                .value("seconds", "10", "duration of a load in seconds")
                .value("concurrency", "100", "maximum number of requests of a load in progress")
                .value(
                        "timeout-seconds",
                        "120",
                        "maximum wait for the start of an answer, in seconds")
                .toggle(
                        "stand-ins",
                        "check that each answer is the one that the fake upstreams give");
    }

    @Override
    public int run(final FlagValues flags, final PrintStream out, final PrintStream err)
            throws BadInputException, IOException, InterruptedException {
        final int timeout = flags.integer("timeout-seconds", 1, MAXIMUM_SECONDS);
        final List<String> entries = flags.list("entry");
        if (entries.isEmpty() || !entries.stream().allMatch(e -> e.matches("https?://.+"))) {
            throw new BadInputException("--entry: must be base URLs such as http://127.0.0.1:8080");
        }
        final ServiceClient client = new ServiceClient(entries, Duration.ofSeconds(timeout));
        final double rate = flags.decimal("rate", 0, MAXIMUM_RATE_PER_SECOND);
        if (rate > 0) {
            return sendLoad(flags, client, rate, out);
        }
        return sendOne(flags, client, out, err);
    }

    private int sendOne(
            final FlagValues flags,
            final ServiceClient client,
            final PrintStream out,
            final PrintStream err)
            throws BadInputException, IOException, InterruptedException {
        final boolean printTokens = flags.isSet("stream") && !flags.isSet("json");
        final Call call = createCall(flags, "", new IdempotencyKeyGenerator());
        Answer answer =
                client.send(
                        call,
                        flags.text("customer-key"),
                        token -> {
                            if (printTokens) {
                                out.print(token);
                                out.flush();
                            }
                        });
        if (flags.isSet("stand-ins")) {
            answer = new AnswerCheck().check(call, answer);
        }
        if (flags.isSet("json")) {
            out.println(new ObjectMapper().writeValueAsString(answer));
        } else {
            out.println(printTokens ? "" : answer.text());
            err.println(describe(call, answer));
        }
        return answer.isGood() ? OK : FAILURE;
    }

    private int sendLoad(
            final FlagValues flags,
            final ServiceClient client,
            final double rate,
            final PrintStream out)
            throws BadInputException, IOException, InterruptedException {
        final double seconds = flags.decimal("seconds", 0.1, MAXIMUM_SECONDS);
        final int concurrency = flags.integer("concurrency", 1, MAXIMUM_CONCURRENCY);
        final int timeout = flags.integer("timeout-seconds", 1, MAXIMUM_SECONDS);
        final IdempotencyKeyGenerator keys = new IdempotencyKeyGenerator();
        final List<Call> calls = new ArrayList<>();
        final int count = (int) Math.max(1, Math.round(rate * seconds));
        for (int i = 0; i < count; i++) {
            calls.add(createCall(flags, " #" + i, keys));
        }
        final String customerKey = flags.text("customer-key");
        final AnswerCheck check = new AnswerCheck();
        final boolean checkAnswers = flags.isSet("stand-ins");
        final LoadResult result = new LoadResult();
        new LoadGenerator(rate, seconds, concurrency, timeout)
                .run(
                        calls::get,
                        call -> {
                            final Answer answer = client.send(call, customerKey, token -> {});
                            return checkAnswers ? check.check(call, answer) : answer;
                        },
                        result);
        result.print(out, seconds);
        return result.faults() == 0 && result.good() > 0 ? OK : FAILURE;
    }

    private static Call createCall(
            final FlagValues flags, final String suffix, final IdempotencyKeyGenerator keys)
            throws BadInputException, IOException {
        final String service =
                flags.optional("service")
                        .orElseThrow(() -> new BadInputException("--service is missing"));
        final String prompt = content(flags, "prompt");
        final String body = content(flags, "body");
        if (prompt.isEmpty() == body.isEmpty()) {
            throw new BadInputException("give either --prompt or --body");
        }
        final int tokens = flags.integer("max-output-tokens", 1, MAXIMUM_TOKENS);
        final Call call =
                prompt.isEmpty()
                        ? Call.plain(service, body, "")
                        : Call.engine(
                                service,
                                flags.text("prefix"),
                                prompt + suffix,
                                tokens,
                                flags.isSet("stream"));
        final String key = flags.text("key");
        return call.withKey(NEW_KEY.equals(key) ? keys.next(System.currentTimeMillis()) : key)
                .withHeaders(headers(flags));
    }

    private static List<String> headers(final FlagValues flags) {
        final List<String> headers = new ArrayList<>();
        flags.optional("tier").ifPresent(v -> headers.addAll(List.of("Persimmonreel-Tier", v)));
        flags.optional("deadline-millis")
                .ifPresent(v -> headers.addAll(List.of("Persimmonreel-Deadline", v)));
        flags.optional("parent").ifPresent(v -> headers.addAll(List.of("Persimmonreel-Parent", v)));
        return headers;
    }

    private static String content(final FlagValues flags, final String name) throws IOException {
        final String value = flags.text(name);
        return value.startsWith("@") ? Files.readString(Path.of(value.substring(1))) : value;
    }

    private static String describe(final Call call, final Answer answer) {
        final StringBuilder text = new StringBuilder();
        text.append("send: ").append(LoadResult.label(answer));
        text.append(", status ").append(answer.status());
        text.append(", request ").append(answer.requestId());
        if (!call.key().isEmpty()) {
            text.append(", key ").append(call.key());
        }
        if (!answer.detail().isEmpty()) {
            text.append(", ").append(answer.detail());
        }
        if (!answer.fault().isEmpty()) {
            text.append(", ").append(answer.fault());
        }
        return text.append(", ").append(answer.totalNanos() / 1_000_000).append(" ms").toString();
    }
}
