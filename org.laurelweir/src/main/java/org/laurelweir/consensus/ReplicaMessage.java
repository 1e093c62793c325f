package org.laurelweir.consensus;

import java.util.List;

/**
 * What replicas send each other. Messages may be lost, repeated and reordered. The shell delivers a
 * message only to the replica id it was sent to, storage id included.
 */
public sealed interface ReplicaMessage {
    /** Returns the sender's term; for a pre-vote and its granted reply, the term asked about. */
    long term();

    /**
     * Asks whether a vote would be granted.
     *
     * @param term the term that the sender would start
     * @param lastIndex the sender's last entry
     * @param lastTerm that entry's term
     */
    record PreVoteRequest(long term, long lastIndex, long lastTerm) implements ReplicaMessage {}

    /**
     * Answers a pre-vote.
     *
     * @param term the term asked about if granted, else the replier's own
     * @param granted whether a vote would be granted
     */
    record PreVoteReply(long term, boolean granted) implements ReplicaMessage {}

    /**
     * Asks for a vote.
     *
     * @param term the sender's new term
     * @param lastIndex the sender's last entry
     * @param lastTerm that entry's term
     * @param handedOver whether the leader asked the sender to take over, so that voters need not
     *     wait until they have heard no leader for long
     */
    record VoteRequest(long term, long lastIndex, long lastTerm, boolean leadershipTransfer)
            implements ReplicaMessage {}

    /** The leader leaves and asks the receiver to campaign at once. */
    record TimeoutNow(long term) implements ReplicaMessage {}

    /** Answers a vote request; a granted vote has been synced. */
    record VoteReply(long term, boolean granted) implements ReplicaMessage {}

    /**
     * Appends entries, or shows that the leader is alive when there are none.
     *
     * @param term the leader's term
     * @param prevIndex the entry before the first sent
     * @param prevTerm that entry's term
     * @param entries consecutive, from prevIndex + 1
     * @param commitIndex the leader's commit index
     * @param round the leader's count of contact rounds, echoed by the reply
     */
    record AppendRequest(
            long term,
            long prevIndex,
            long prevTerm,
            List<LogEntry> entries,
            long commitIndex,
            long round)
            implements ReplicaMessage {}

    /**
     * Answers an append.
     *
     * @param term the replier's term
     * @param success whether prevIndex and prevTerm matched
     * @param matchIndex if matched, the last entry known equal to the leader's and synced; else the
     *     last index at which the leader should try again
     * @param round as in the request
     */
    record AppendReply(long term, boolean success, long matchIndex, long round)
            implements ReplicaMessage {}

    /**
     * A piece of the leader's snapshot.
     *
     * @param term the leader's term
     * @param index the last entry contained in the snapshot
     * @param snapshotTerm that entry's term
     * @param membership in force at that entry
     * @param offset of the first byte of data in the snapshot's state
     * @param totalBytes the length of the whole state
     * @param data the piece
     * @param round the leader's count of contact rounds, echoed by the reply
     */
    record SnapshotChunk(
            long term,
            long index,
            long snapshotTerm,
            Membership membership,
            int offset,
            int totalBytes,
            byte[] data,
            long round)
            implements ReplicaMessage {}

    /**
     * Answers a snapshot chunk.
     *
     * @param term the replier's term
     * @param index as in the chunk
     * @param nextOffset the first byte not yet held
     * @param installed whether the whole snapshot, or a log beyond it, is held and synced
     * @param round as in the request
     */
    record SnapshotReply(long term, long index, int nextOffset, boolean installed, long round)
            implements ReplicaMessage {}
}
