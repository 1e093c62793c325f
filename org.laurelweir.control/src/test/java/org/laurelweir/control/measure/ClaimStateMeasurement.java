package org.laurelweir.control.measure;

import java.time.Duration;
import java.time.Instant;
import org.laurelweir.coordination.Command;
import org.laurelweir.coordination.ControlState;
import org.laurelweir.lib.AttemptId;
import org.laurelweir.lib.BackendRef;
import org.laurelweir.wire.CommandCodec;

/** Measures the memory and snapshot bytes of claims, and the time to take a snapshot. */
public final class ClaimStateMeasurement {
    private ClaimStateMeasurement() {}

    /** Prints a line per number of claims. */
    public static void main(String[] args) {
        System.out.println("claims heap_bytes/claim snapshot_bytes/claim copy_ms encode_ms");
        for (int claims : new int[] {50_000, 100_000, 200_000, 400_000, 1_000_000}) {
            measure(claims);
        }
    }

    private static void measure(int claims) {
        long before = usedAfterCollection();
        ControlState state = new ControlState(ControlState.Limits.DEFAULT);
        CommandCodec codec = new CommandCodec();
        for (int i = 0; i < claims; i++) {
            // Encoded and decoded, as the log does, so that claims share no strings.
            state.apply(i + 1, codec.decodeCommand(codec.encode(claim(i))));
        }
        long heap = usedAfterCollection() - before;
        long begin = System.nanoTime();
        ControlState.Snapshot snapshot = state.snapshot();
        long copied = System.nanoTime();
        long bytes = codec.encode(snapshot).length;
        long encoded = System.nanoTime();
        System.out.printf(
                "%d %d %d %.1f %.1f%n",
                claims,
                heap / claims,
                bytes / claims,
                (copied - begin) / 1e6,
                (encoded - copied) / 1e6);
    }

    private static Command.Claim claim(int i) {
        return new Command.Claim(
                Instant.EPOCH.plusMillis(i * 9L / 10),
                "account-" + i % 19_000,
                "order-0123456789abcdef-" + i,
                "havnebok",
                i,
                new AttemptId("router-" + i % 360, 1, i, 1),
                new BackendRef("worker-" + i % 3_800, 1),
                null,
                Duration.ofMinutes(15));
    }

    private static long usedAfterCollection() {
        System.gc();
        Runtime r = Runtime.getRuntime();
        return r.totalMemory() - r.freeMemory();
    }
}
