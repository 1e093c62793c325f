package org.laurelweir.direct;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
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
        assertThat(framer.eventCount()).isEqualTo(4);
        assertThat(framer.takeIncomplete()).isEmpty();
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
