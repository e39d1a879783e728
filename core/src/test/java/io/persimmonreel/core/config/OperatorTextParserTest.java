package io.persimmonreel.core.config;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;
import static org.assertj.core.api.Assertions.tuple;

import io.persimmonreel.core.service.Tier;
import java.io.IOException;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class OperatorTextParserTest {
    private final OperatorTextParser mParser = new OperatorTextParser();

    private List<Finding> findings(final String text) {
        final ConfigurationException e =
                catchThrowableOfType(
                        ConfigurationException.class, () -> mParser.parse("t.yaml", 1, text));
        assertThat(e).as("the text must be rejected").isNotNull();
        return e.findings();
    }

    private static int lineOf(final String text, final String part) {
        return (int) text.substring(0, text.indexOf(part)).lines().count() + 1;
    }

    @Nested
    class Examples {
        @Test
        void areAccepted() throws Exception {
            final Configuration saaf = mParser.parse("saaf", 3, ExampleTexts.load("saaf-paws"));
            assertThat(saaf.version()).isEqualTo(3);
            assertThat(saaf.fleet().maximumDaemons()).isEqualTo(7);
            assertThat(saaf.upstreams().get("assistant").replicas()).hasSize(12);
            assertThat(saaf.upstreams().get("payments").replicas()).hasSize(3);
            assertThat(saaf.customers()).hasSize(5);
            assertThat(saaf.customers().get("kiosks-lahore").keyDigests())
                    .containsExactly(Digests.sha256Hex("demo-kiosks-lahore"));
            assertThat(saaf.service("booking-reply").orElseThrow().tier()).isEqualTo(Tier.URGENT);
            assertThat(saaf.service("booking-reply").orElseThrow().objective().firstToken())
                    .isEqualTo(Duration.ofMillis(500));
            final Configuration song = mParser.parse("song", 1, ExampleTexts.load("song-hong"));
            assertThat(song.upstreams().get("drafting").replicas()).hasSize(8);
            assertThat(song.service("certificate-issue").orElseThrow().idempotent()).isFalse();
        }
    }

    @Nested
    class OneFault {
        /** Guards against a fault that is accepted or reported at the wrong field. */
        @ParameterizedTest
        @CsvSource(
                delimiter = '|',
                value = {
                    "format: 1|format: 2|format|must be from 1 to 1",
                    "clockSkew: 2s|clockSkew: -2s|fleet.clockSkew|is not a duration",
                    "maximumDaemons: 7|maximumDaemons: -7|fleet.maximumDaemons|must be from 1",
                    "maximumDaemons: 7|maximumDaemons: 9e99|fleet.maximumDaemons|must be a whole",
                    "share: 2|share: 2000000000|customers[2].share|must be from 1 to",
                    "requestsPerSecond: 20|requestsPerSecond: 0|customers[3].requests|above 0",
                    "tier: normal|tier: middle|services[1].tier|must be urgent, high",
                    "tier: normal|priority: normal|services[1].priority|is an unknown key",
                    "id: charge|id: token-refund|services[5].id|is a duplicate id",
                    "id: assistant-2,|id: payments-1,|upstreams[1].replicas[0].id|duplicate id",
                    "tier: normal|dependsOn: [none]|services[1].dependsOn|is not declared: none",
                    "upstream: payments|upstream: paymints|services[3].upstream|is not declared",
                    "127.0.0.1:9101|kiosk.example:80|upstreams[0].replicas[0].address|IP number",
                    "127.0.0.1:9101|127.0.0.1:0|upstreams[0].replicas[0].address|IP number",
                    "sha256:|sha1:|customers[0].keyDigests|is not sha256:",
                    "tier: normal|idempotent: true|services[1].idempotent|duplicate key, first",
                    "zone: karachi|zone: multan|upstreams[0].replicas[1].zone|not a zone",
                    "maximumOutputTokens: 300|dependsOn: []|services[1].maximumOut|is missing",
                    "kind: plain|kind: &a plain|upstreams[1].kind|has an anchor",
                    "kind: plain|kind: *a|upstreams[1].kind|is an alias",
                    "kind: plain|kind: !!str plain|upstreams[1].kind|has a tag",
                    "deadline: 20s|deadline: 11s|services[1].objective|longer than the deadline",
                    "format: 1|{format: 1|text|is not readable YAML",
                })
        void isReportedWithFieldAndReason(
                final String from, final String to, final String field, final String reason)
                throws IOException {
            final String text = ExampleTexts.load("saaf-paws");
            assertThat(text).contains(from);
            final String changed =
                    text.substring(0, text.indexOf(from))
                            + to
                            + text.substring(text.indexOf(from) + from.length());
            assertThat(findings(changed))
                    .anySatisfy(
                            f -> {
                                assertThat(f.field()).startsWith(field);
                                assertThat(f.reason()).contains(reason);
                            });
        }

        /** Guards against findings that point at the wrong line. */
        @Test
        void isReportedAtItsLine() throws IOException {
            final String text =
                    ExampleTexts.load("song-hong").replace("tier: bulk", "tier: lowest");
            assertThat(findings(text))
                    .singleElement()
                    .hasToString(
                            "t.yaml:"
                                    + lineOf(text, "    tier: lowest")
                                    + ": services[0].tier: must be urgent, high, normal or bulk");
        }

        /**
         * Guards against findings about list items that all point at the first line of the list.
         */
        @Test
        void inAListIsReportedAtItsItem() throws IOException {
            final String text =
                    ExampleTexts.load("saaf-paws")
                            .replace(
                                    "dependsOn: [booking-lookup]",
                                    "dependsOn:\n    - booking-lookup\n    - none\n    - nil");
            assertThat(findings(text))
                    .extracting(Finding::line, Finding::field)
                    .containsExactly(
                            tuple(lineOf(text, "    - none"), "services[2].dependsOn[1]"),
                            tuple(lineOf(text, "    - nil"), "services[2].dependsOn[2]"));
        }

        /** Guards against accepting a key that two customers share, so the caller is not known. */
        @Test
        void inASharedKeyIsReported() throws IOException {
            final String text =
                    ExampleTexts.load("saaf-paws")
                            .replace(
                                    Digests.sha256Hex("demo-head-office"),
                                    Digests.sha256Hex("demo-kiosks-lahore"));
            assertThat(findings(text)).singleElement().asString().contains("duplicate digest");
        }

        @ParameterizedTest
        @ValueSource(strings = {"", "---\n", "[]", "text", "\0", "a: 1\n---\nb: 2"})
        void inAMalformedTextIsReported(final String text) {
            assertThat(findings(text)).isNotEmpty();
        }
    }

    @Nested
    class Dependencies {
        @Test
        void inACycleAreReported() throws IOException {
            final String text =
                    ExampleTexts.load("saaf-paws")
                            .replace(
                                    "id: booking-lookup\n",
                                    "id: booking-lookup\n    dependsOn: [booking-reply]\n");
            assertThat(findings(text)).singleElement().asString().contains("dependency cycle");
        }

        /** Guards against an urgent request that waits for bulk work. */
        @Test
        void onALowerTierAreReported() throws IOException {
            final String text =
                    ExampleTexts.load("saaf-paws")
                            .replace("dependsOn: [booking-lookup]", "dependsOn: [shift-report]");
            assertThat(findings(text)).singleElement().asString().contains("lower tier bulk");
        }
    }

    @Nested
    class WholeText {
        /** Guards against a check that stops at its first finding. */
        @Test
        void isCheckedCompletelyInOrderOfLines() throws IOException {
            final String text =
                    ExampleTexts.load("saaf-paws")
                            .replace("clockSkew: 2s", "clockSkew: soon")
                            .replace("kind: plain", "kind: simple")
                            .replace("tier: bulk", "tier: 7")
                            .replace("loadsPerMinute: 6", "loadsPerMinute: none");
            final List<Finding> findings = findings(text);
            assertThat(findings).hasSizeGreaterThanOrEqualTo(4);
            assertThat(findings).extracting(Finding::line).isSorted();
            assertThat(findings)
                    .extracting(Finding::field)
                    .contains(
                            "fleet.clockSkew",
                            "upstreams[1].kind",
                            "services[0].tier",
                            "weightStore.loadsPerMinute");
        }

        @Test
        void isBoundedInSizeDepthAndFindings() throws IOException {
            final String text = ExampleTexts.load("saaf-paws");
            final int room = ConfigurationLimits.MAXIMUM_TEXT_BYTES - text.length() - 1;
            assertThat(findings(text + "#" + "x".repeat(room + 1)))
                    .singleElement()
                    .asString()
                    .contains("is larger than 1048576 bytes");
            assertThat(findings("[".repeat(500_000)))
                    .singleElement()
                    .asString()
                    .contains("nested deeper than 16");
            assertThat(findings("- 1\n".repeat(100_000) + "x"))
                    .hasSizeLessThanOrEqualTo(ConfigurationLimits.MAXIMUM_FINDINGS + 1);
        }

        @Test
        void ofTheLargestSizeIsAccepted() throws Exception {
            final String text = ExampleTexts.load("saaf-paws");
            final int room = ConfigurationLimits.MAXIMUM_TEXT_BYTES - text.length() - 1;
            assertThat(mParser.parse("t", 1, text + "#" + "x".repeat(room)).version()).isOne();
        }
    }
}
