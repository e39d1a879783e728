package io.persimmonreel.daemon.relay;

import io.persimmonreel.daemon.relay.VirtualReplicaConnection.Output;
import io.persimmonreel.daemon.relay.VirtualReplicaConnection.Then;
import java.util.Arrays;
import java.util.Deque;
import java.util.List;
import java.util.SplittableRandom;

/** Draws how replicas answer: whole, refusing, broken off, twice, or with bytes of no request. */
final class VirtualReplicaScript {
    private static final int LARGE_BODY_BYTES = 300_000;
    private static final String NOT_RUN = "Persimmonreel-Not-Run: 1\r\n";
    private static final int PERCENT = 100;

    private final VirtualRelay mRelay;

    /** Lists how the end of a body is shown. */
    private enum Framing {
        LENGTH,
        CHUNKED,
        NONE
    }

    /**
     * Holds a response to be written.
     *
     * @param id the attempt id, null for none
     */
    private record Response(int status, String id, String headers, Framing framing, String body) {
        byte[] bytes() {
            final StringBuilder text =
                    new StringBuilder("HTTP/1.1 ").append(status).append(" Text\r\n");
            if (id != null) {
                text.append(VirtualCaller.ATTEMPT).append(": ").append(id).append("\r\n");
            }
            text.append(headers);
            switch (framing) {
                case LENGTH -> text.append("Content-Length: ").append(body.length());
                case CHUNKED -> text.append("Transfer-Encoding: chunked");
                default -> text.append("Via: none");
            }
            text.append("\r\n\r\n");
            if (framing != Framing.CHUNKED) {
                return VirtualReplicaConnection.bytes(text.append(body).toString());
            }
            for (int from = 0; from < body.length(); ) {
                final int to = Math.min(body.length(), from + Math.max(7, body.length() / 3));
                text.append(Integer.toHexString(to - from)).append("\r\n");
                text.append(body, from, to).append("\r\n");
                from = to;
            }
            return VirtualReplicaConnection.bytes(text.append("0\r\n\r\n").toString());
        }
    }

    VirtualReplicaScript(final VirtualRelay relay) {
        mRelay = relay;
    }

    /**
     * Draws an answer to a request and runs the request unless it is refused.
     *
     * @param request the request
     * @param resumeAfter the number of the event after which a stream continues
     * @param outputs receives the bytes
     * @return the answer, null if the replica makes none
     */
    VirtualRequest.Answer answer(
            final VirtualRequest request, final int resumeAfter, final Deque<Output> outputs) {
        final SplittableRandom random = mRelay.random();
        addPrelude(request, outputs);
        final int draw = random.nextInt(PERCENT);
        if (draw < 55) {
            return send(request, response(request, 200, resumeAfter), true, outputs);
        } else if (draw < 65) {
            return send(request, response(request, draw < 61 ? 500 : 504, 0), true, outputs);
        } else if (draw < 84) {
            return send(
                    request,
                    refusal(request, draw < 76 ? 503 : draw < 79 ? 429 : 421),
                    false,
                    outputs);
        } else if (draw < 90) {
            return sendWithoutId(request, outputs);
        } else if (draw < 92) {
            request.onRun();
            add(outputs, VirtualReplicaConnection.bytes("\1garbage\r\n\r\n"), Then.NOTHING);
            return null;
        } else if (draw < 94) {
            request.onRun();
            return null;
        }
        return breakOff(request, response(request, draw < 98 ? 200 : 500, resumeAfter), outputs);
    }

    private void addPrelude(final VirtualRequest request, final Deque<Output> outputs) {
        final SplittableRandom random = mRelay.random();
        final int draw = random.nextInt(PERCENT);
        if (draw < 8) {
            final int count = draw == 0 ? 20 : 1 + draw % 2;
            add(
                    outputs,
                    VirtualReplicaConnection.bytes("HTTP/1.1 102 Processing\r\n\r\n".repeat(count)),
                    Then.NOTHING);
        } else if (draw < 14) {
            final VirtualRequest other = mRelay.anyRequest();
            if (other != request) {
                final Response foreign = draw < 12 ? response(other, 200, 0) : refusal(other, 503);
                add(outputs, framed(foreign).bytes(), Then.NOTHING);
            }
        }
    }

    private VirtualRequest.Answer send(
            final VirtualRequest request,
            final Response response,
            final boolean runs,
            final Deque<Output> outputs) {
        if (runs) {
            request.onRun();
        }
        final boolean ends = response.framing() == Framing.NONE;
        final List<byte[]> parts =
                VirtualReplicaConnection.split(response.bytes(), mRelay.random());
        for (int i = 0; i < parts.size(); i++) {
            final boolean last = i == parts.size() - 1;
            outputs.add(new Output(parts.get(i), last, last && ends ? Then.END : Then.NOTHING));
        }
        if (!ends && (response.id() == null || mRelay.random().nextInt(3) == 0)) {
            respondTwice(response, outputs);
        }
        return new VirtualRequest.Answer(
                response.status(),
                VirtualReplicaConnection.bytes(response.body()),
                response.framing() == Framing.NONE);
    }

    /** Adds a second response with the id of the first one. */
    private void respondTwice(final Response first, final Deque<Output> outputs) {
        final SplittableRandom random = mRelay.random();
        final Response second =
                switch (random.nextInt(4)) {
                    case 0 -> first;
                    case 1 -> new Response(200, first.id(), "", Framing.LENGTH, "{}");
                    case 2 ->
                            new Response(
                                    first.status() < 300 ? 500 : 200,
                                    first.id(),
                                    "",
                                    Framing.CHUNKED,
                                    "second");
                    default -> new Response(503, first.id(), NOT_RUN, Framing.LENGTH, "full");
                };
        if (random.nextInt(3) == 0) {
            final Output last = outputs.pollLast();
            final byte[] both = new byte[last.bytes().length + second.bytes().length];
            System.arraycopy(last.bytes(), 0, both, 0, last.bytes().length);
            System.arraycopy(second.bytes(), 0, both, last.bytes().length, second.bytes().length);
            outputs.add(new Output(both, last.isLast(), last.then()));
        } else {
            add(outputs, second.bytes(), Then.NOTHING);
        }
    }

    private VirtualRequest.Answer sendWithoutId(
            final VirtualRequest request, final Deque<Output> outputs) {
        final int draw = mRelay.random().nextInt(3);
        final Response response =
                draw == 0 ? refusal(request, 503) : response(request, draw == 1 ? 200 : 500, 0);
        return send(
                request,
                new Response(
                        response.status(),
                        null,
                        response.headers(),
                        response.framing(),
                        response.body()),
                draw != 0,
                outputs);
    }

    private VirtualRequest.Answer breakOff(
            final VirtualRequest request, final Response response, final Deque<Output> outputs) {
        final SplittableRandom random = mRelay.random();
        request.onRun();
        final byte[] bytes = response.bytes();
        final int length = random.nextInt(bytes.length);
        for (final byte[] part :
                VirtualReplicaConnection.split(Arrays.copyOf(bytes, length), random)) {
            add(outputs, part, Then.NOTHING);
        }
        // The end of the input would show the end of a response without a length.
        final Then other = response.framing() == Framing.NONE ? Then.FAIL_WRITES : Then.END;
        add(outputs, new byte[0], random.nextBoolean() ? Then.RESET : other);
        return new VirtualRequest.Answer(
                response.status(),
                VirtualReplicaConnection.bytes(response.body()),
                response.framing() == Framing.NONE);
    }

    private Response response(
            final VirtualRequest request, final int status, final int resumeAfter) {
        final SplittableRandom random = mRelay.random();
        final Framing framing = Framing.values()[random.nextInt(Framing.values().length)];
        if (status == 200 && request.kind().isStream()) {
            return new Response(
                    status,
                    request.id(),
                    headers() + "Content-Type: text/event-stream\r\n",
                    framing,
                    request.events(resumeAfter));
        }
        final String body =
                random.nextInt(40) == 0
                        ? "y".repeat(LARGE_BODY_BYTES)
                        : random.nextInt(8) == 0
                                ? ""
                                : "body " + request.id() + " " + random.nextInt();
        return new Response(status, request.id(), headers(), framing, body);
    }

    private Response refusal(final VirtualRequest request, final int status) {
        final SplittableRandom random = mRelay.random();
        final String retryAfter =
                switch (random.nextInt(5)) {
                    case 0 -> "Retry-After: 1\r\n";
                    case 1 -> "Retry-After: 0\r\n";
                    default -> "";
                };
        return new Response(
                status,
                request.id(),
                headers() + NOT_RUN + retryAfter,
                random.nextInt(6) == 0 ? Framing.NONE : Framing.LENGTH,
                random.nextBoolean() ? "" : "refused");
    }

    private static Response framed(final Response response) {
        return response.framing() == Framing.NONE
                ? new Response(
                        response.status(),
                        response.id(),
                        response.headers(),
                        Framing.CHUNKED,
                        response.body())
                : response;
    }

    private String headers() {
        return switch (mRelay.random().nextInt(30)) {
            case 0 -> "Connection: close\r\n";
            case 1 -> "Keep-Alive: timeout=1\r\n";
            case 2 -> "Persimmonreel-Leaving: 1\r\n";
            default -> "";
        };
    }

    private static void add(final Deque<Output> outputs, final byte[] bytes, final Then then) {
        outputs.add(new Output(bytes, false, then));
    }
}
