package io.persimmonreel.daemon.relay;

import java.util.Locale;

/** Lists what happens to the units of a customer's quota at one daemon. */
enum QuotaEvent {
    /** Units of requests that were accepted. */
    ADMITTED,
    /** Units of requests that were refused because the quota was used up. */
    REFUSED,
    /** Units of requests that were written to a connection to a replica for the first time. */
    SENT,
    /** Units of requests that were written to a connection again, after another attempt. */
    SENT_AGAIN,
    /** Units that were given back, since the request did not run. */
    RETURNED,
    /** Units that were sent to peers. */
    GIVEN,
    /** Units that peers sent. */
    RECEIVED;

    /** Returns the name in logs and metrics. */
    String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
