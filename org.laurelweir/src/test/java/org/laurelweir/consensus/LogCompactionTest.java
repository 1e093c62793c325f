package org.laurelweir.consensus;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

/**
 * Tests that compaction limits the size of a replica's log in bytes, whatever the size of its
 * commands.
 */
class LogCompactionTest {
    private static final Duration SECOND = Duration.ofSeconds(1);
    private static final int COMMAND_BYTES = 4_000;
    private static final int COMMANDS = 7;

    /**
     * Each of these commands makes a snapshot due. Some commands are kept before the snapshot, and
     * one follows it.
     */
    private static final int MAX_LOG_BYTES = 4 * COMMAND_BYTES;

    // Guards against control instances that use ever more memory and crash while they start. If the
    // log were compacted by the number of entries alone, a few large commands would not make a
    // snapshot due, and the bytes in memory would grow with each command.
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
            int logBytes = 0;
            for (long i = log.baseIndex() + 1; i <= log.lastIndex(); i++) {
                logBytes += log.entry(i).payload().length;
            }
            assertThat(logBytes).as("log bytes in memory of " + r.mId).isLessThan(MAX_LOG_BYTES);
        }
    }
}
