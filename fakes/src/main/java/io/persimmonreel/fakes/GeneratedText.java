package io.persimmonreel.fakes;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Computes the text that an engine generates for a prompt. It depends on the prompt only, so a
 * caller can check that the tokens it received belong to its own request.
 */
final class GeneratedText {
    private static final Pattern TOKENS = Pattern.compile("tokens=(\\d{1,6})");
    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    /** Without {@code tokens=N}, a text has at least this fraction of the maximum tokens. */
    private static final int MINIMUM_SHARE_DIVISOR = 4;

    private GeneratedText() {}

    /** Returns the token at an index of the text for the prompt with the given hash. */
    static String token(final long promptHash, final int index) {
        final long mixed = mix(promptHash + (index + 1) * 0x9e3779b97f4a7c15L);
        // The divisor is 36 to the 4th, so a token has at most four base-36 digits.
        return Long.toString((mixed >>> 1) % 1_679_616, 36) + " ";
    }

    /** Returns the number of tokens generated for a prompt. */
    static int tokenCount(final String prompt, final int maximum) {
        final Matcher matcher = TOKENS.matcher(prompt);
        if (matcher.find()) {
            return Math.max(1, Math.min(maximum, Integer.parseInt(matcher.group(1))));
        }
        final int least = Math.max(1, maximum / MINIMUM_SHARE_DIVISOR);
        final long mixed = mix(hash(prompt)) >>> 1;
        return least + (int) (mixed % Math.max(1, maximum - least + 1));
    }

    /** Returns the FNV-1a hash of a prompt, over its UTF-16 code units. */
    static long hash(final String prompt) {
        long hash = FNV_OFFSET;
        for (int i = 0; i < prompt.length(); i++) {
            hash = (hash ^ prompt.charAt(i)) * FNV_PRIME;
        }
        return hash;
    }

    /** Scrambles the bits of a value, like the finalizer of SplitMix64. */
    private static long mix(final long value) {
        long mixed = value;
        mixed = (mixed ^ (mixed >>> 30)) * 0xbf58476d1ce4e5b9L;
        mixed = (mixed ^ (mixed >>> 27)) * 0x94d049bb133111ebL;
        return mixed ^ (mixed >>> 31);
    }
}
