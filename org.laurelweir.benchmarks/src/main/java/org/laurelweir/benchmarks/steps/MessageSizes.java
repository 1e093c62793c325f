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

/** Sizes of the encoded messages; gRPC, HTTP/2 and TCP add to them. */
final class MessageSizes {
    private static final int[] ENTRIES = {1, 10, 100};

    /** Of the length that numbers of requests and entries have after a while. */
    private static final long NUMBER = 100_000;

    private MessageSizes() {}

    static void report(Report out) {
        out.heading("messages: encoded sizes");
        ExchangeSizes.report(out);
        log(out);
        frames(out);
    }

    private static void log(Report out) {
        CommandCodec codec = new CommandCodec();
        Command.Claim claim = Samples.claim(Instant.EPOCH, 123_456);
        out.size("claim: request", RequestCodec.toWire(claim).getSerializedSize());
        byte[] command = codec.encode(claim);
        out.size("claim: log entry's payload", command.length);
        byte[] change = codec.encode(Samples.change(Instant.EPOCH, 1234, 1234, NUMBER));
        out.size("change of one settings node: log entry's payload", change.length);
        out.size("heartbeat", append(command, 0));
        for (int n : ENTRIES) {
            out.size("append message with " + n + " claims", append(command, n));
        }
        out.size(
                "answer to an append message",
                envelope(new ReplicaMessage.AppendReply(7, true, NUMBER, NUMBER)));
    }

    private static int append(byte[] command, int entries) {
        List<LogEntry> log =
                IntStream.range(0, entries)
                        .mapToObj(i -> new LogEntry(NUMBER + i, 7, LogEntry.Kind.COMMAND, command))
                        .toList();
        return envelope(new ReplicaMessage.AppendRequest(7, NUMBER, 7, log, NUMBER, NUMBER));
    }

    private static int envelope(ReplicaMessage message) {
        ReplicaId from = new ReplicaId("control-1", Samples.RUN);
        ReplicaId to = new ReplicaId("control-2", Samples.RUN);
        return ReplicaCodec.toWire(from, to, message).getSerializedSize();
    }

    private static void frames(Report out) {
        byte[] token = new byte[180];
        out.size("output frame beside its bytes", frame(new Frame.Data(NUMBER, token)) - 180);
        out.size("progress frame", frame(new Frame.Progress(NUMBER)));
    }

    private static int frame(Frame frame) {
        AttemptId id = new AttemptId("router-17", Samples.RUN, NUMBER, 1);
        return AttemptCodec.toWire(new AttemptFrame(id, Samples.LOAD, frame)).getSerializedSize();
    }
}
