package io.persimmonreel.core.request;

import java.util.Locale;

/** Lists the steps at which a decision or a failure can occur. */
public enum Step {
    RECEIVE,
    AUTHENTICATE,
    CLAIM,
    ADMIT,
    QUEUE,
    ROUTE,
    CONNECT,
    DISPATCH,
    STREAM,
    RESUME,
    ANSWER,
    CONFIGURE,
    MEMBERSHIP,
    ORDER,
    QUARANTINE;

    /**
     * Returns the name of the step in problem documents and decision records.
     *
     * @return the name in lower case
     */
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
