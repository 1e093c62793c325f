package org.laurelweir.consensus;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

/** The log of a replica takes a bounded number of bytes, whatever the size of its commands. */
class LogCompactionTest {
    private static final Duration SECOND = Duration.ofSeconds(1);
    private static final int COMMAND_BYTES = 4_000;
    private static final int COMMANDS = 7;

    /** A snapshot is due after each of these commands; some stay before it, one comes after it. */
    private static final int MAX_LOG_BYTES = 4 * COMMAND_BYTES;

    // Operators see: control instances that take ever more memory, and end while they start. Order:
    // commands of some size, too few for a snapshot by their number. Cause: the log was cut by the
    // number of entries alone. Proof: the bytes of the entries held grow with each command.
    @Test
    void compactsLogOfFewLargeCommands() {
        ReplicaNetwork network = new ReplicaNetwork(1, 3);
        network.healAndRun(SECOND.multipliedBy(3));
        for (int i = 0; i < COMMANDS; i++) {
            network.propose(network.leader(), i + "x".repeat(COMMAND_BYTES));
            network.run(SECOND);
        }
        assertThat(network.mChecker.acceptedCount()).isEqualTo(COMMANDS);
        for (TestReplica r : network.running()) {
            ReplicatedLog log = r.mReducer.log();
            int held = 0;
            for (long i = log.baseIndex() + 1; i <= log.lastIndex(); i++) {
                held += log.entry(i).payload().length;
            }
            assertThat(held).as("bytes held by " + r.mId).isLessThan(MAX_LOG_BYTES);
        }
    }
}
