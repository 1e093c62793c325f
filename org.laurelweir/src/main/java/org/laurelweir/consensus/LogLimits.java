package org.laurelweir.consensus;

/**
 * Limits of a replica's log in bytes. A limit on the number of entries alone does not bound memory:
 * entries that hold whole settings trees would fill the heap, the process would crash, and it would
 * crash again at each restart while it reads them back. All limits are shares of the heap, so that
 * they are consistent for any heap size. The rest of the heap is for the state machine's state, for
 * commands that are being decoded and for a snapshot in transfer. All replicas of one log need the
 * same heap size.
 *
 * @param maxCommandBytes the maximum size of an encoded command; a larger command is rejected
 * @param maxUncommittedBytes the maximum size of a leader's uncommitted proposals, and of a
 *     replica's unsynced entries. Beyond it a proposal is rejected; a follower rejects entries, and
 *     the leader sends them again later
 * @param maxLogBytes the size of all entries in memory beyond which proposals are rejected
 * @param snapshotIntervalBytes the size of entries applied since the last snapshot at which the
 *     next one is due
 * @param snapshotTailBytes the maximum size of entries kept that the snapshot already covers, for
 *     followers that lag slightly
 * @param maxInFlightBytes the size of unanswered append messages to one follower at which no
 *     further one is sent
 */
public record LogLimits(
        int maxCommandBytes,
        int maxUncommittedBytes,
        int maxLogBytes,
        int snapshotIntervalBytes,
        int snapshotTailBytes,
        int maxInFlightBytes) {
    /**
     * Heap size above which the limits stop growing. The largest command of a larger heap would not
     * fit into a message between replicas, which is limited to 32 MB, and could never be
     * replicated.
     */
    private static final long MAX_HEAP_BYTES = 512L << 20;

    /**
     * A restarted replica applies up to this many bytes before it can serve. So a larger heap does
     * not lengthen the snapshot interval.
     */
    private static final int MAX_SNAPSHOT_INTERVAL_BYTES = 2 << 20;

    /**
     * Bytes of heap for each byte of the largest command. A settings tree is decoded while the
     * current one is still in memory, several operators may send trees at once, and a decoded tree
     * takes several times the size of its command.
     */
    private static final int HEAP_PER_COMMAND_BYTE = 32;

    /**
     * Returns the limits for a heap size.
     *
     * @param heapBytes the maximum heap size; 64 MB result in commands of up to 2 MB, a log of 12
     *     MB and a snapshot after every 2 MB
     */
    public static LogLimits ofHeap(long heapBytes) {
        int maxCommandBytes = (int) (Math.min(heapBytes, MAX_HEAP_BYTES) / HEAP_PER_COMMAND_BYTE);
        int snapshotIntervalBytes = Math.min(maxCommandBytes, MAX_SNAPSHOT_INTERVAL_BYTES);
        return new LogLimits(
                maxCommandBytes,
                2 * maxCommandBytes,
                6 * maxCommandBytes,
                snapshotIntervalBytes,
                snapshotIntervalBytes / 2,
                maxCommandBytes / 2);
    }

    /**
     * Returns the size of applied entries at which the next snapshot is due. It is at least the
     * size of the last snapshot; otherwise more bytes would be written for snapshots than for the
     * log. But it is at most half of the maximum log size, because only a snapshot frees space in
     * the log.
     *
     * @param lastSnapshotBytes the size of the last snapshot's state
     */
    int snapshotThresholdBytes(int lastSnapshotBytes) {
        return Math.min(Math.max(snapshotIntervalBytes, lastSnapshotBytes), maxLogBytes / 2);
    }
}
