package org.laurelweir.wire;

import java.time.Duration;
import java.util.List;
import java.util.OptionalInt;
import org.laurelweir.coordination.LossTolerance;
import org.laurelweir.coordination.LossTolerance.Cause;
import org.laurelweir.wire.v1.MissingVoter;

/** Converts how many losses the log can bear. */
public final class LossToleranceCodec {
    private LossToleranceCodec() {}

    /** Returns the message of a loss tolerance. */
    public static org.laurelweir.wire.v1.LossTolerance toWire(LossTolerance t) {
        org.laurelweir.wire.v1.LossTolerance.Builder m =
                org.laurelweir.wire.v1.LossTolerance.newBuilder()
                        .setNow(t.now())
                        .setPossible(t.possible());
        t.promised().ifPresent(m::setPromised);
        t.missing().forEach(v -> m.addMissing(toWire(v)));
        return m.build();
    }

    /** Returns the loss tolerance that a message holds. */
    public static LossTolerance toCore(org.laurelweir.wire.v1.LossTolerance m) {
        OptionalInt promised =
                m.hasPromised() ? OptionalInt.of(m.getPromised()) : OptionalInt.empty();
        List<LossTolerance.MissingVoter> missing =
                m.getMissingList().stream().map(LossToleranceCodec::toCore).toList();
        return new LossTolerance(m.getNow(), m.getPossible(), promised, missing);
    }

    private static MissingVoter toWire(LossTolerance.MissingVoter v) {
        return MissingVoter.newBuilder()
                .setVoter(ReplicaCodec.toWire(v.voter()))
                .setCause(toWire(v.cause()))
                .setSilentMillis(v.silence().toMillis())
                .build();
    }

    private static MissingVoter.Cause toWire(Cause cause) {
        return switch (cause) {
            case SILENT -> MissingVoter.Cause.SILENT;
            case BEHIND -> MissingVoter.Cause.BEHIND;
            case DISK_LOST -> MissingVoter.Cause.DISK_LOST;
        };
    }

    private static LossTolerance.MissingVoter toCore(MissingVoter m) {
        return new LossTolerance.MissingVoter(
                ReplicaCodec.toCore(m.getVoter()),
                toCore(m.getCause()),
                Duration.ofMillis(m.getSilentMillis()));
    }

    private static Cause toCore(MissingVoter.Cause cause) {
        return switch (cause) {
            case DISK_LOST -> Cause.DISK_LOST;
            case BEHIND -> Cause.BEHIND;
            default -> Cause.SILENT;
        };
    }
}
