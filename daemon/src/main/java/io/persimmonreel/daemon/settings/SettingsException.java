package io.persimmonreel.daemon.settings;

/** Reports a setting that is missing or malformed. */
public final class SettingsException extends Exception {
    private static final long serialVersionUID = 1L;

    private final String mField;

    /**
     * Creates an exception.
     *
     * @param field the flag, such as {@code --slot}
     * @param reason what is wrong, a phrase that follows the flag, such as {@code is missing}
     */
    public SettingsException(final String field, final String reason) {
        super("settings: " + field + ": " + reason);
        mField = field;
    }

    /**
     * Returns the setting that is missing or malformed.
     *
     * @return the flag
     */
    public String field() {
        return mField;
    }
}
