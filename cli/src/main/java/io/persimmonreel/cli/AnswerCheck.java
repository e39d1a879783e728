package io.persimmonreel.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.persimmonreel.fakes.FakeEngine;
import io.persimmonreel.fakes.FakePlainService;

/** Checks that an answer is the one that the fake upstreams give to this request and no other. */
final class AnswerCheck {
    private final ObjectMapper mJson = new ObjectMapper();

    /** Returns the answer, with a fault added if it is not the expected one. */
    Answer check(final Call call, final Answer answer) {
        if (!answer.isGood()) {
            return answer;
        }
        return call.isEngine() ? checkEngine(call, answer) : checkPlain(call, answer);
    }

    private static Answer checkEngine(final Call call, final Answer answer) {
        final int expectedTokens = FakeEngine.expectedTokens(call.prompt(), call.maxOutputTokens());
        if (answer.tokens() != expectedTokens) {
            return answer.withFault(answer.tokens() + " tokens instead of " + expectedTokens);
        }
        if (!FakeEngine.expectedText(call.prompt(), expectedTokens).equals(answer.text())) {
            return answer.withFault("the text is not the answer to this prompt");
        }
        return answer;
    }

    private Answer checkPlain(final Call call, final Answer answer) {
        try {
            final JsonNode json = mJson.readTree(answer.text());
            if (FakePlainService.expectedResult(call.body()).equals(json.path("result").asText())) {
                return answer;
            }
            return answer.withFault("the result is not the answer to this body");
        } catch (final JsonProcessingException e) {
            return answer.withFault("the answer is not JSON");
        }
    }
}
