package org.laurelweir.consensus;

import java.util.List;

/**
 * A message between replicas. Messages may be lost, duplicated and reordered. The shell delivers a
 * message only to the replica id that it was sent to, including the storage id.
 */
public sealed interface ReplicaMessage {
    /**
     * Returns the sender's term; for a pre-vote request and a granted pre-vote reply, the term that
     * the candidate would start.
     */
    long term();

    /**
     * Asks whether the receiver would grant a vote.
     *
     * @param term the term that the sender would start
     * @param lastIndex the index of the sender's last entry
     * @param lastTerm that entry's term
     */
    record PreVoteRequest(long term, long lastIndex, long lastTerm) implements ReplicaMessage {}

    /**
     * Replies to a pre-vote request.
     *
     * @param term the requested term if granted, else the sender's own term
     * @param granted whether the sender would grant a vote
     */
    record PreVoteReply(long term, boolean granted) implements ReplicaMessage {}

    /**
     * Asks for a vote.
     *
     * @param term the sender's new term
     * @param lastIndex the index of the sender's last entry
     * @param lastTerm that entry's term
     * @param leadershipTransfer whether the leader transfers its leadership to the sender; if so,
     *     voters may grant the vote although they are in contact with the leader
     */
    record VoteRequest(long term, long lastIndex, long lastTerm, boolean leadershipTransfer)
            implements ReplicaMessage {}

    /** The leader transfers its leadership and asks the receiver to campaign at once. */
    record TimeoutNow(long term) implements ReplicaMessage {}

    /** Replies to a vote request. A granted vote is synced before the reply is sent. */
    record VoteReply(long term, boolean granted) implements ReplicaMessage {}

    /**
     * Appends entries. Without entries it is a heartbeat.
     *
     * @param term the leader's term
     * @param prevIndex the index of the entry before the first one in the message
     * @param prevTerm that entry's term
     * @param entries consecutive entries, starting at prevIndex + 1
     * @param commitIndex the leader's commit index
     * @param round the leader's current contact round, echoed by the reply
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
     * Replies to an append request.
     *
     * @param term the sender's term
     * @param success whether the sender's log matches prevIndex and prevTerm
     * @param matchIndex on success, the index of the last entry that matches the leader's log and
     *     is synced; else the last index at which the leader should try again
     * @param round echoed from the request
     * @param leaving whether the sender stops soon, so that another replica should vote in its
     *     place
     */
    record AppendReply(long term, boolean success, long matchIndex, long round, boolean leaving)
            implements ReplicaMessage {}

    /**
     * Sends a chunk of the leader's snapshot.
     *
     * @param term the leader's term
     * @param index the index of the last entry contained in the snapshot
     * @param snapshotTerm that entry's term
     * @param membership the membership at that entry
     * @param offset the position of the chunk in the snapshot's state, in bytes
     * @param totalBytes the size of the snapshot's state
     * @param data the chunk
     * @param round the leader's current contact round, echoed by the reply
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
     * Replies to a snapshot chunk.
     *
     * @param term the sender's term
     * @param index echoed from the chunk
     * @param nextOffset the position of the first byte that is not received yet
     * @param installed whether the whole snapshot, or a log beyond it, is stored and synced
     * @param round echoed from the request
     */
    record SnapshotReply(long term, long index, int nextOffset, boolean installed, long round)
            implements ReplicaMessage {}
}
