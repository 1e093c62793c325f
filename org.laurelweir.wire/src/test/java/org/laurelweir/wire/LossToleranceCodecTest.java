package org.laurelweir.wire;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.InvalidProtocolBufferException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalInt;
import org.junit.jupiter.api.Test;
import org.laurelweir.consensus.ReplicaId;
import org.laurelweir.coordination.LossTolerance;
import org.laurelweir.coordination.LossTolerance.Cause;
import org.laurelweir.coordination.LossTolerance.MissingVoter;

/** Tests that loss tolerances are decoded as they were encoded. */
class LossToleranceCodecTest {
    private static LossTolerance roundTrip(LossTolerance t) throws InvalidProtocolBufferException {
        byte[] sent = LossToleranceCodec.toWire(t).toByteArray();
        return LossToleranceCodec.toCore(org.laurelweir.wire.v1.LossTolerance.parseFrom(sent));
    }

    @Test
    void everyCauseRoundTrips() throws InvalidProtocolBufferException {
        List<MissingVoter> missing = new ArrayList<>();
        for (Cause cause : Cause.values()) {
            ReplicaId voter = new ReplicaId(cause.name(), 7);
            missing.add(new MissingVoter(voter, cause, Duration.ofMillis(1200)));
        }
        LossTolerance t = new LossTolerance(0, 2, OptionalInt.of(1), missing);
        assertThat(roundTrip(t)).isEqualTo(t);
    }

    // Guards against a promise of no losses where nothing is promised.
    @Test
    void absentPromiseStaysAbsent() throws InvalidProtocolBufferException {
        LossTolerance t = new LossTolerance(1, 1, OptionalInt.empty(), List.of());
        assertThat(roundTrip(t)).isEqualTo(t);
        LossTolerance none = new LossTolerance(1, 1, OptionalInt.of(0), List.of());
        assertThat(roundTrip(none)).isEqualTo(none);
    }
}
