package io.persimmonreel.core.explain;

import java.time.Instant;
import java.time.ZoneOffset;
import java.time.format.DateTimeFormatter;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;

/** Formats decision records as sentences for operators. */
public final class DecisionFormatter {
    private static final DateTimeFormatter TIME =
            DateTimeFormatter.ofPattern("yyyy-MM-dd HH:mm:ss.SSS").withZone(ZoneOffset.UTC);

    private DecisionFormatter() {}

    /**
     * Formats one record as a sentence.
     *
     * @param record the record
     * @return the sentence, such as {@code 2026-04-01 10:00:00.000 route: chose assistant-3 (first
     *     token expected in 120 ms).}, with the time in UTC
     */
    public static String sentence(final DecisionRecord record) {
        return time(record) + " " + statement(record);
    }

    /**
     * Formats the records of several daemons as sentences, ordered by wall-clock time. The order
     * within one daemon is kept; records of two daemons that are closer together than the clocks
     * differ may be swapped.
     *
     * @param records the records of each daemon by its name, the oldest first
     * @return one sentence for each record
     */
    public static List<String> sentences(final Map<String, List<DecisionRecord>> records) {
        final List<OrderedRecord> all = new ArrayList<>();
        records.forEach(
                (daemon, list) -> {
                    long latest = Long.MIN_VALUE;
                    for (final DecisionRecord record : list) {
                        latest = Math.max(latest, record.wallMillis());
                        all.add(new OrderedRecord(daemon, latest, record));
                    }
                });
        all.sort(Comparator.comparingLong(OrderedRecord::orderMillis));
        return all.stream()
                .map(t -> time(t.record()) + " " + t.daemon() + ": " + statement(t.record()))
                .toList();
    }

    /**
     * A record with its sort key.
     *
     * @param daemon the daemon that made the record
     * @param orderMillis the latest wall-clock time of the record and its predecessors
     * @param record the record
     */
    private record OrderedRecord(String daemon, long orderMillis, DecisionRecord record) {}

    private static String time(final DecisionRecord record) {
        return TIME.format(Instant.ofEpochMilli(record.wallMillis()));
    }

    private static String statement(final DecisionRecord record) {
        final StringBuilder text =
                new StringBuilder(record.step().label()).append(": ").append(record.decision());
        if (!record.subject().isEmpty()) {
            text.append(' ').append(record.subject());
        }
        if (!record.reason().isEmpty()) {
            final String reason = record.reason();
            final int end = reason.endsWith(".") ? reason.length() - 1 : reason.length();
            text.append(" (").append(reason, 0, end).append(')');
        }
        return text.append('.').toString();
    }
}
