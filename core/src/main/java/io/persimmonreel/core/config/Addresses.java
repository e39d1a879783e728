package io.persimmonreel.core.config;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Checks addresses of hosts, which are IP numbers so that no name lookup can delay a call. */
final class Addresses {
    private static final Pattern IPV4 =
            Pattern.compile(
                    "([0-9]{1,3})\\.([0-9]{1,3})\\.([0-9]{1,3})\\.([0-9]{1,3}):([0-9]{1,5})");
    private static final Pattern IPV6 = Pattern.compile("\\[([0-9a-fA-F:]{2,39})]:([0-9]{1,5})");
    private static final Pattern IPV6_GROUP = Pattern.compile("[0-9a-fA-F]{1,4}");
    private static final int IPV6_GROUPS = 8;
    private static final int MAXIMUM_OCTET = 255;
    private static final int MAXIMUM_PORT = 65_535;

    private Addresses() {}

    /** Tells whether a text is an IPv4 or bracketed IPv6 number with a port. */
    static boolean isValid(final String address) {
        final Matcher ipv4 = IPV4.matcher(address);
        if (ipv4.matches()) {
            boolean valid = isPort(ipv4.group(5));
            for (int i = 1; i <= 4; i++) {
                valid &= Integer.parseInt(ipv4.group(i)) <= MAXIMUM_OCTET;
            }
            return valid;
        }
        final Matcher ipv6 = IPV6.matcher(address);
        return ipv6.matches() && isPort(ipv6.group(2)) && isIpv6(ipv6.group(1));
    }

    private static boolean isPort(final String text) {
        final int port = Integer.parseInt(text);
        return port >= 1 && port <= MAXIMUM_PORT;
    }

    private static boolean isIpv6(final String text) {
        final int compression = text.indexOf("::");
        if (compression < 0) {
            return countGroups(text) == IPV6_GROUPS;
        }
        final int before = countGroups(text.substring(0, compression));
        final int after = countGroups(text.substring(compression + 2));
        return before >= 0 && after >= 0 && before + after < IPV6_GROUPS;
    }

    /** Counts the groups between single colons, or returns -1 if one is not valid. */
    private static int countGroups(final String text) {
        if (text.isEmpty()) {
            return 0;
        }
        final String[] groups = text.split(":", -1);
        for (final String group : groups) {
            if (!IPV6_GROUP.matcher(group).matches()) {
                return -1;
            }
        }
        return groups.length;
    }
}
