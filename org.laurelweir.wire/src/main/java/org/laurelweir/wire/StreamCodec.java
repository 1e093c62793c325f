package org.laurelweir.wire;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.laurelweir.lib.BackendRef;
import org.laurelweir.resumption.BackendRun;
import org.laurelweir.resumption.OriginReport;
import org.laurelweir.resumption.StreamOrigin;
import org.laurelweir.wire.v1.FindStreamReply;
import org.laurelweir.wire.v1.FindStreamRequest;
import org.laurelweir.wire.v1.RecordStreamReply;
import org.laurelweir.wire.v1.RecordStreamRequest;

/** Converts what is known of the origins of streams. */
public final class StreamCodec {
    private StreamCodec() {}

    /** Returns the message that records the origin of a stream. */
    public static RecordStreamRequest recordRequest(
            long stream, StreamOrigin origin, BackendRef server, Duration retention) {
        return RecordStreamRequest.newBuilder()
                .setStream(stream)
                .setOrigin(toWire(origin))
                .setServer(IdCodec.toWire(server))
                .setRetentionMillis((int) retention.toMillis())
                .build();
    }

    /** Returns the answer to a record: empty, or the later run of the backend server. */
    public static RecordStreamReply toWire(Optional<BackendRun> laterRun) {
        RecordStreamReply.Builder reply = RecordStreamReply.newBuilder();
        laterRun.ifPresent(
                run -> reply.setLaterRun(IdCodec.toWire(run.ref())).setLaterVersion(run.version()));
        return reply.build();
    }

    /** Returns the later run of the backend server, or empty if the stream is recorded. */
    public static Optional<BackendRun> toCore(RecordStreamReply m) {
        return m.hasLaterRun()
                ? Optional.of(new BackendRun(IdCodec.toCore(m.getLaterRun()), m.getLaterVersion()))
                : Optional.empty();
    }

    /** Returns the message that asks for the origin of a stream. */
    public static FindStreamRequest findRequest(long stream, String service, Duration window) {
        return FindStreamRequest.newBuilder()
                .setStream(stream)
                .setService(service)
                .setWindowMillis((int) window.toMillis())
                .build();
    }

    private static org.laurelweir.wire.v1.StreamOrigin toWire(StreamOrigin origin) {
        return org.laurelweir.wire.v1.StreamOrigin.newBuilder()
                .setService(origin.service())
                .setVersion(origin.version())
                .build();
    }

    /** Returns the origin that a message holds. */
    public static StreamOrigin toCore(org.laurelweir.wire.v1.StreamOrigin m) {
        return new StreamOrigin(m.getService(), m.getVersion());
    }

    /** Returns the message of a control instance's report. */
    public static FindStreamReply toWire(OriginReport report) {
        FindStreamReply.Builder reply =
                FindStreamReply.newBuilder()
                        .addAllVersions(report.versions())
                        .setKnownForMillis(report.knownFor().toMillis())
                        .addAllControls(report.controls());
        report.origin().ifPresent(o -> reply.setOrigin(toWire(o)));
        return reply.build();
    }

    /** Returns the report that a message holds. */
    public static OriginReport toCore(FindStreamReply m) {
        Optional<StreamOrigin> origin =
                m.hasOrigin() ? Optional.of(toCore(m.getOrigin())) : Optional.empty();
        return new OriginReport(
                origin,
                List.copyOf(m.getVersionsList()),
                Duration.ofMillis(m.getKnownForMillis()),
                List.copyOf(m.getControlsList()));
    }
}
