package org.laurelweir.answer;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/** Tests how a stream of events is split into complete events. */
class EventFramerTest {
    private static final String STREAM =
            "id: 1\r\ndata: a\r\n\r\nid: 2\ndata: b\ndata: c\n\n: comment\n\nid:3\ndata: \n\n";

    @Property(tries = 300, seed = "82")
    void chunkBoundariesDoNotMatter(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        byte[] all = STREAM.getBytes(StandardCharsets.UTF_8);
        EventFramer framer = new EventFramer();
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        int offset = 0;
        while (offset < all.length) {
            int next = Math.min(all.length, offset + 1 + random.nextInt(12));
            out.writeBytes(framer.add(Arrays.copyOfRange(all, offset, next)));
            offset = next;
        }
        assertThat(out.toString(StandardCharsets.UTF_8)).isEqualTo(STREAM);
        assertThat(framer.lastId()).isEqualTo("3");
        assertThat(framer.eventCount()).isEqualTo(3);
        assertThat(framer.takeIncomplete()).isEmpty();
    }

    private static EventFramer framerOf(String stream) {
        EventFramer framer = new EventFramer();
        framer.add(stream.getBytes(StandardCharsets.UTF_8));
        return framer;
    }

    /** Splits a stream in one piece and byte by byte; returns whether both end inside an event. */
    private static boolean endsInsideEvent(String stream) {
        EventFramer bytewise = new EventFramer();
        for (byte b : stream.getBytes(StandardCharsets.UTF_8)) {
            bytewise.add(new byte[] {b});
        }
        EventFramer whole = framerOf(stream);
        assertThat(bytewise.isInsideEvent()).as(stream).isEqualTo(whole.isInsideEvent());
        assertThat(bytewise.eventCount()).as(stream).isEqualTo(whole.eventCount());
        return whole.isInsideEvent();
    }

    // Guards against taking a stream that was cut anywhere in its last event for a complete one.
    @Test
    void everyCutInsideAnEventIsRecognised() {
        for (String lineEnd : List.of("\n", "\r\n", "\r")) {
            String first = "id: 1\ndata: a\n\n".replace("\n", lineEnd);
            String second = "id: 2\ndata: b\n\n".replace("\n", lineEnd);
            assertThat(endsInsideEvent(first)).isFalse();
            assertThat(endsInsideEvent(first + second)).isFalse();
            for (int i = 1; i < second.length(); i++) {
                assertThat(endsInsideEvent(first + second.substring(0, i))).as("%s", i).isTrue();
            }
            for (int i = 1; i < first.length(); i++) {
                assertThat(endsInsideEvent(first.substring(0, i))).as("%s", i).isTrue();
            }
        }
    }

    // Guards against taking a complete stream for a cut one.
    @Test
    void commentsAndEmptyLinesBetweenEventsAreNoEvent() {
        String event = "data: a\n\n";
        for (String rest :
                List.of("\n", "\n\n", "\r\n", ": ping\n", ": ping\n\n", ": a\r\n: b\r\n")) {
            assertThat(endsInsideEvent(event + rest)).as(rest).isFalse();
            assertThat(framerOf(event + rest).eventCount()).isEqualTo(1);
        }
        assertThat(endsInsideEvent(event + ": pi")).isTrue();
        assertThat(endsInsideEvent(event + ": ping\ndata: b\n")).isTrue();
    }

    @Test
    void incompleteEventIsHeldBack() {
        EventFramer framer = new EventFramer();
        byte[] events = framer.add("id: 1\n\nid: 2\ndata".getBytes(StandardCharsets.UTF_8));
        assertThat(events).isEqualTo("id: 1\n\n".getBytes(StandardCharsets.UTF_8));
        assertThat(framer.lastId()).isEqualTo("1");
        assertThat(framer.takeIncomplete())
                .isEqualTo("id: 2\ndata".getBytes(StandardCharsets.UTF_8));
    }
}
