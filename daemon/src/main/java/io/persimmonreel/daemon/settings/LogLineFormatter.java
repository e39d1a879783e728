package io.persimmonreel.daemon.settings;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.logging.Formatter;
import java.util.logging.LogRecord;

/**
 * Formats a log record as one line: line breaks in a message become spaces, or are escaped in JSON.
 *
 * <p>A message may begin with the name of its component and a colon.
 */
public final class LogLineFormatter extends Formatter {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final LogFormat mFormat;

    /**
     * Creates a formatter.
     *
     * @param format the format of log lines
     */
    public LogLineFormatter(final LogFormat format) {
        mFormat = format;
    }

    @Override
    public String format(final LogRecord record) {
        final String message = formatMessage(record);
        final int colon = message.indexOf(": ");
        final boolean hasComponent = colon > 0 && message.substring(0, colon).matches("[a-z]+");
        final Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("time", record.getInstant().toString());
        fields.put("level", record.getLevel().getName().toLowerCase(Locale.ROOT));
        fields.put(
                "component", hasComponent ? message.substring(0, colon) : record.getLoggerName());
        fields.put("message", hasComponent ? message.substring(colon + 2) : message);
        if (record.getThrown() != null) {
            fields.put("error", describeError(record.getThrown()));
        }
        return mFormat == LogFormat.JSON ? json(fields) : text(fields);
    }

    private static String json(final Map<String, Object> fields) {
        try {
            return MAPPER.writeValueAsString(fields) + "\n";
        } catch (final JsonProcessingException e) {
            return "{\"level\":\"severe\",\"message\":\"a log record can't be written\"}\n";
        }
    }

    private static String text(final Map<String, Object> fields) {
        final StringBuilder line = new StringBuilder();
        line.append(fields.get("time")).append(' ').append(fields.get("level")).append(' ');
        line.append(fields.get("component")).append(": ").append(fields.get("message"));
        if (fields.containsKey("error")) {
            line.append(" (").append(fields.get("error")).append(')');
        }
        return line.toString().replace('\r', ' ').replace('\n', ' ') + "\n";
    }

    private static String describeError(final Throwable error) {
        final StackTraceElement[] trace = error.getStackTrace();
        return error + (trace.length == 0 ? "" : " at " + trace[0]);
    }
}
