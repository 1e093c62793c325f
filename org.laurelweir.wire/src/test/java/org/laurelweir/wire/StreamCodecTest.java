package org.laurelweir.wire;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.laurelweir.lib.BackendRef;
import org.laurelweir.resumption.BackendRun;
import org.laurelweir.resumption.OriginReport;
import org.laurelweir.resumption.StreamOrigin;

/** Tests that what is known of streams survives encoding and decoding, and that it is small. */
class StreamCodecTest {
    private static final StreamOrigin ORIGIN = new StreamOrigin("charter-desk", "v1.24.3");
    private static final BackendRef SERVER = new BackendRef("i-493c38b469", 1_764_722_221_000L);
    private static final Duration RETENTION = Duration.ofSeconds(36);

    /** A router sends some 62 a second at the size that decides the design. */
    private static final int MAX_RECORD_BYTES = 80;

    @Test
    void reportSurvivesTheWire() {
        OriginReport known =
                new OriginReport(
                        Optional.of(ORIGIN),
                        List.of("v1", "v2"),
                        Duration.ofSeconds(40),
                        List.of("10.0.0.1:7300"));
        OriginReport unknown =
                new OriginReport(Optional.empty(), List.of(), Duration.ZERO, List.of());
        assertThat(StreamCodec.toCore(StreamCodec.toWire(known))).isEqualTo(known);
        assertThat(StreamCodec.toCore(StreamCodec.toWire(unknown))).isEqualTo(unknown);
    }

    // Guards against a refused record that passes for a stored one.
    @Test
    void laterRunSurvivesTheWire() {
        Optional<BackendRun> run = Optional.of(new BackendRun(SERVER, "v2"));
        assertThat(StreamCodec.toCore(StreamCodec.toWire(run))).isEqualTo(run);
        assertThat(StreamCodec.toCore(StreamCodec.toWire(Optional.empty()))).isEmpty();
    }

    // Guards against records that fill the part of the network that control may use.
    @Test
    void recordIsSmall() {
        int bytes = StreamCodec.recordRequest(-1, ORIGIN, SERVER, RETENTION).getSerializedSize();
        assertThat(bytes).isLessThanOrEqualTo(MAX_RECORD_BYTES);
    }
}
