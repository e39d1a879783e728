package io.persimmonreel.daemon.settings;

/** Lists the formats of log lines. */
public enum LogFormat {
    /** Time, level, component and message as plain text. */
    TEXT,
    /** One JSON object per line. */
    JSON
}
