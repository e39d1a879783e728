package io.persimmonreel.core.grant;

/**
 * Describes why a daemon stopped asking the granter of an upstream.
 *
 * @param claim the number of the claim that was not answered
 * @param waitedMillis the time since the claim was sent in milliseconds; more than the limit if the
 *     daemon itself was held up
 * @param isRepeated whether the granter had answered the claim before
 * @param givenUp the claims of this daemon that are given up
 * @param lastAnswerMillis the time since the granter's last answer to any claim of this daemon in
 *     milliseconds, negative if there was none
 */
public record GranterSilence(
        long claim,
        double waitedMillis,
        boolean isRepeated,
        int givenUp,
        double lastAnswerMillis) {}
