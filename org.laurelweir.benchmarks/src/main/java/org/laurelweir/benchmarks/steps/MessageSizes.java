package org.laurelweir.benchmarks.steps;

import java.time.Instant;
import java.util.List;
import java.util.stream.IntStream;
import org.laurelweir.attempt.AttemptFrame;
import org.laurelweir.attempt.Frame;
import org.laurelweir.consensus.LogEntry;
import org.laurelweir.consensus.ReplicaId;
import org.laurelweir.consensus.ReplicaMessage;
import org.laurelweir.coordination.Command;
import org.laurelweir.lib.AttemptId;
import org.laurelweir.wire.AttemptCodec;
import org.laurelweir.wire.CommandCodec;
import org.laurelweir.wire.ReplicaCodec;
import org.laurelweir.wire.RequestCodec;

/** Reports the encoded sizes of messages, without the overhead of gRPC, HTTP/2 and TCP. */
final class MessageSizes {
    private static final int[] ENTRIES = {1, 10, 100};

    /**
     * A request number or log index as long as those of a deployment that has run for some time.
     */
    private static final long SEQUENCE_NUMBER = 100_000;

    private MessageSizes() {}

    static void report(Report out) {
        out.heading("messages: encoded sizes");
        ExchangeSizes.report(out);
        reportLog(out);
        reportFrames(out);
    }

    private static void reportLog(Report out) {
        CommandCodec codec = new CommandCodec();
        Command.Claim claim = SampleData.claim(Instant.EPOCH, 123_456);
        out.size("claim: request", RequestCodec.toWire(claim).getSerializedSize());
        byte[] command = codec.encode(claim);
        out.size("claim: log entry's payload", command.length);
        byte[] change = codec.encode(SampleData.change(Instant.EPOCH, 1234, 1234, SEQUENCE_NUMBER));
        out.size("change of one settings node: log entry's payload", change.length);
        out.size("heartbeat", append(command, 0));
        for (int n : ENTRIES) {
            out.size("append message with " + n + " claims", append(command, n));
        }
        out.size(
                "answer to an append message",
                envelope(
                        new ReplicaMessage.AppendReply(
                                7, true, SEQUENCE_NUMBER, SEQUENCE_NUMBER, false)));
    }

    private static int append(byte[] command, int entries) {
        List<LogEntry> log =
                IntStream.range(0, entries)
                        .mapToObj(
                                i ->
                                        new LogEntry(
                                                SEQUENCE_NUMBER + i,
                                                7,
                                                LogEntry.Kind.COMMAND,
                                                command))
                        .toList();
        return envelope(
                new ReplicaMessage.AppendRequest(
                        7, SEQUENCE_NUMBER, 7, log, SEQUENCE_NUMBER, SEQUENCE_NUMBER));
    }

    private static int envelope(ReplicaMessage message) {
        ReplicaId from = new ReplicaId("control-1", SampleData.INCARNATION);
        ReplicaId to = new ReplicaId("control-2", SampleData.INCARNATION);
        return ReplicaCodec.toWire(from, to, message).getSerializedSize();
    }

    private static void reportFrames(Report out) {
        byte[] token = new byte[180];
        out.size(
                "output frame beside its bytes",
                frame(new Frame.Data(SEQUENCE_NUMBER, token)) - 180);
        out.size("progress frame", frame(new Frame.Progress(SEQUENCE_NUMBER)));
    }

    private static int frame(Frame frame) {
        AttemptId id = new AttemptId("router-17", SampleData.INCARNATION, SEQUENCE_NUMBER, 1);
        return AttemptCodec.toWire(new AttemptFrame(id, SampleData.LOAD_HINT, frame))
                .getSerializedSize();
    }
}
