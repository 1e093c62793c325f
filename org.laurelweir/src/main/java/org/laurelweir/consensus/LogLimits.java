package org.laurelweir.consensus;

/**
 * How many bytes a replica gives to its log. A replica that bounds its log by the number of entries
 * alone takes memory in proportion to their size: whole settings trees fill the heap, the process
 * ends, and ends again at each start while it reads them back. All figures are shares of the heap,
 * so that they hold together whatever its size; the state itself, what is decoded at the moment and
 * a snapshot on its way take the rest. Replicas of one log need heaps of one size.
 *
 * @param maxCommandBytes the largest command, in bytes of its encoding; a larger one is refused
 * @param maxUncommittedBytes bytes of proposals of one leader that are not committed, and of
 *     entries that are not synced; what would pass it is refused, and taken later where it comes
 *     from the leader
 * @param maxLogBytes bytes of all entries in memory; no more proposals are taken beyond
 * @param snapshotIntervalBytes bytes of entries applied since the last snapshot after which the
 *     next one is due
 * @param snapshotTailBytes bytes of entries kept before a snapshot, for followers slightly behind
 * @param maxInFlightBytes bytes of unanswered append messages to one follower after which no other
 *     is sent
 */
public record LogLimits(
        int maxCommandBytes,
        int maxUncommittedBytes,
        int maxLogBytes,
        int snapshotIntervalBytes,
        int snapshotTailBytes,
        int maxInFlightBytes) {
    /**
     * A larger heap gets no larger log: its largest command would not fit into a message between
     * replicas, which may have 32 MB, and could never be replicated.
     */
    private static final long MAX_HEAP_BYTES = 512L << 20;

    /** A start applies as many bytes before it can serve; a larger heap gets no fewer snapshots. */
    private static final int MAX_SNAPSHOT_INTERVAL_BYTES = 2 << 20;

    /**
     * A tree is decoded beside the one in force, and several operators may send theirs at once;
     * decoded, a tree takes several times the bytes of its command.
     */
    private static final int HEAP_PER_COMMAND_BYTE = 32;

    /**
     * Returns the bounds for a heap.
     *
     * @param heapBytes the largest size of the heap; 64 MB give commands of 2 MB, a log of 12 MB
     *     and a snapshot after each 2 MB
     */
    public static LogLimits ofHeap(long heapBytes) {
        int command = (int) (Math.min(heapBytes, MAX_HEAP_BYTES) / HEAP_PER_COMMAND_BYTE);
        int snapshot = Math.min(command, MAX_SNAPSHOT_INTERVAL_BYTES);
        return new LogLimits(
                command, 2 * command, 6 * command, snapshot, snapshot / 2, command / 2);
    }

    /**
     * Returns after how many bytes of entries the next snapshot is due. Not before as many bytes as
     * the last one had, since writing snapshots would take more than writing the log; and always
     * before the log is full, since only a snapshot makes room in it.
     *
     * @param lastSnapshotBytes the size of the last snapshot's state
     */
    int snapshotThresholdBytes(int lastSnapshotBytes) {
        return Math.min(Math.max(snapshotIntervalBytes, lastSnapshotBytes), maxLogBytes / 2);
    }
}
