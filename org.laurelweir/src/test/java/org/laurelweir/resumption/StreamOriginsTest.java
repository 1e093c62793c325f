package org.laurelweir.resumption;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import org.junit.jupiter.api.Test;

/** Tests the table of streams' origins. */
class StreamOriginsTest {
    private static final Instant NOW = Instant.EPOCH;
    private static final Duration RETENTION = Duration.ofSeconds(30);
    private static final StreamOrigin V1 = new StreamOrigin("s", "v1");
    private static final StreamOrigin V2 = new StreamOrigin("s", "v2");
    private static final int MAX_RECORDS = 3;

    private final StreamOrigins mOrigins = new StreamOrigins(MAX_RECORDS);

    @Test
    void recordIsKeptForItsTime() {
        mOrigins.put(NOW, 1, V1, RETENTION);
        assertThat(mOrigins.find(NOW.plusSeconds(29), 1)).contains(V1);
        assertThat(mOrigins.find(NOW.plusSeconds(30), 1)).isEmpty();
        mOrigins.expire(NOW.plusSeconds(40));
        assertThat(mOrigins.size()).isZero();
    }

    // Guards against a guess where two streams of a caller have one id.
    @Test
    void differentRecordsOfAStreamTellNothing() {
        mOrigins.put(NOW, 1, V1, RETENTION);
        mOrigins.put(NOW, 1, V2, RETENTION);
        assertThat(mOrigins.find(NOW, 1)).isEmpty();
        mOrigins.put(NOW, 1, V1, RETENTION);
        assertThat(mOrigins.find(NOW, 1)).isEmpty();
    }

    // Guards against a process whose records fill its heap.
    @Test
    void oldestRecordsGiveWay() {
        for (long stream = 1; stream <= 5; stream++) {
            mOrigins.put(NOW, stream, V1, RETENTION);
        }
        assertThat(mOrigins.size()).isEqualTo(MAX_RECORDS);
        assertThat(mOrigins.find(NOW, 2)).isEmpty();
        assertThat(mOrigins.find(NOW, 3)).contains(V1);
    }

    // Guards against a caller that goes on with the stream of another client account.
    @Test
    void accountsHaveDifferentKeys() {
        assertThat(StreamKey.of("a", "q1")).isNotEqualTo(StreamKey.of("b", "q1"));
        assertThat(StreamKey.of("a", "q1")).isEqualTo(StreamKey.of("a", "q1"));
        assertThat(StreamKey.of("a", "q1")).isNotEqualTo(StreamKey.of("", "aq1"));
    }
}
