package io.persimmonreel.daemon.http;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class EventSplitterTest {
    private static String split(final EventSplitter splitter, final String text)
            throws EventTooLongException {
        return splitter.split(Unpooled.copiedBuffer(text, StandardCharsets.UTF_8))
                .toString(StandardCharsets.UTF_8);
    }

    @Nested
    class Split {
        private final EventSplitter mSplitter = new EventSplitter(null);

        /** The caller must not receive part of an event if the stream breaks inside it. */
        @Test
        void holdsBackAnIncompleteEvent() throws EventTooLongException {
            assertThat(split(mSplitter, "id: 1\ndata: a\n\nid: 2\nda"))
                    .isEqualTo("id: 1\ndata: a\n\n");
            assertThat(mSplitter.hasPartialEvent()).isTrue();
            assertThat(mSplitter.lastId()).isEqualTo("1");
            assertThat(split(mSplitter, "ta: b\n\n")).isEqualTo("id: 2\ndata: b\n\n");
            assertThat(mSplitter.hasPartialEvent()).isFalse();
            assertThat(mSplitter.lastId()).isEqualTo("2");
            assertThat(mSplitter.eventCount()).isEqualTo(2);
        }

        @Test
        void acceptsSingleBytes() throws EventTooLongException {
            final String events = "id: 1\r\ndata: a\r\n\r\nid: 2\ndata: b\n\n";
            final StringBuilder out = new StringBuilder();
            for (final char c : events.toCharArray()) {
                out.append(split(mSplitter, String.valueOf(c)));
            }
            assertThat(out.toString()).isEqualTo(events);
        }

        @Test
        void keepsEventsWithoutId() throws EventTooLongException {
            assertThat(split(mSplitter, ": comment\n\ndata: x\n\n"))
                    .isEqualTo(": comment\n\ndata: x\n\n");
            assertThat(mSplitter.lastId()).isNull();
        }

        /** Comments and empty lines are forwarded, but show no progress. */
        @Test
        void countsOnlyEventsWithAField() throws EventTooLongException {
            assertThat(split(mSplitter, "\n: alive\n\n\r\n")).isEqualTo("\n: alive\n\n\r\n");
            assertThat(mSplitter.eventCount()).isZero();
            split(mSplitter, ": alive\ndata: x\n\n");
            assertThat(mSplitter.eventCount()).isEqualTo(1);
        }

        @Test
        void rejectsAnEventThatIsTooLong() throws EventTooLongException {
            split(mSplitter, "a".repeat(1 << 20));
            assertThatThrownBy(() -> split(mSplitter, "a"))
                    .isInstanceOf(EventTooLongException.class);
        }
    }

    @Nested
    class Restart {
        /** A replica that resumes too early repeats events that the caller has already received. */
        @Test
        void skipsForwardedEvents() throws EventTooLongException {
            final EventSplitter splitter = new EventSplitter(null);
            split(splitter, "id: 9\ndata: i\n\nid: 10\ndata: j\n\nid: 11\nda");
            splitter.restart();
            assertThat(split(splitter, "id: 10\ndata: j\n\nid: 11\ndata: k\n\n"))
                    .isEqualTo("id: 11\ndata: k\n\n");
        }

        @Test
        void startsWithTheCallersLastEventId() {
            assertThat(new EventSplitter("4").lastId()).isEqualTo("4");
        }
    }
}
