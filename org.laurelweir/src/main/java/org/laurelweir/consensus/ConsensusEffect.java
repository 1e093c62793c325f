package org.laurelweir.consensus;

import java.util.List;
import org.laurelweir.lib.ResultCode;

/**
 * An action that {@link ConsensusReducer} requests from the shell, the code that does the replica's
 * I/O. The shell carries out the effects of a step in the order in which they are emitted.
 */
public sealed interface ConsensusEffect {
    /** Sends a message to another replica. The message may be lost. */
    record Send(ReplicaId to, ReplicaMessage message) implements ConsensusEffect {}

    /**
     * Writes to disk and syncs, in the order of the sequence numbers. The shell then reports {@link
     * ConsensusEvent.Persisted}. One sync and one report may cover several writes.
     *
     * @param sequence sequence number of the write; starts at 1 with the process and rises by one
     * @param hardState the new term and vote, or null if unchanged
     * @param snapshot a snapshot that replaces the previous one, or null; log entries up to its
     *     index may be deleted
     * @param discardLog whether to delete the whole log on disk: the snapshot came from a leader
     *     and conflicts with the log
     * @param entries consecutive entries; the first replaces the log's entry at its index and all
     *     later entries
     */
    record Persist(
            long sequence,
            HardState hardState,
            Snapshot snapshot,
            boolean discardLog,
            List<LogEntry> entries)
            implements ConsensusEffect {}

    /**
     * Records, without a sync, that all entries up to an index are committed and synced on this
     * disk. After a restart the replica applies these entries at once. Without the record its state
     * machine stays at the last snapshot, and readers get no newer state, until a leader has
     * committed an entry of its own term. The record may be lost, but the shell must never record
     * an index that was not emitted.
     */
    record MarkCommitted(long index) implements ConsensusEffect {}

    /**
     * Applies a committed command to the state machine. Indexes rise, with gaps: not every entry is
     * a command.
     */
    record Apply(long index, long term, byte[] command) implements ConsensusEffect {}

    /**
     * Reports that a proposal is committed. For a command, its {@link Apply} is emitted just
     * before.
     */
    record ProposalAccepted(long proposalId, long index) implements ConsensusEffect {}

    /**
     * Reports that this replica did not commit a proposal.
     *
     * @param code {@link ResultCode#OUTCOME_UNKNOWN} if it may still be committed; with any other
     *     code it is never committed
     * @param leader the leader to ask instead, or null if unknown
     */
    record ProposalRejected(long proposalId, ResultCode code, ReplicaId leader)
            implements ConsensusEffect {}

    /**
     * Reports that a read may be served. The applied state includes every write, and every state
     * returned by a read, that was acknowledged before the read was requested.
     */
    record ReadReady(long readId, long index) implements ConsensusEffect {}

    /**
     * Reports that this replica can't serve a read. The caller asks the leader, or retries later if
     * the leader is null.
     */
    record ReadRejected(long readId, ResultCode code, ReplicaId leader)
            implements ConsensusEffect {}

    /**
     * Encodes the state machine's current state and reports {@link ConsensusEvent.SnapshotTaken}.
     */
    record TakeSnapshot(long index) implements ConsensusEffect {}

    /** Replaces the state machine's state with the snapshot's. */
    record InstallSnapshot(Snapshot snapshot) implements ConsensusEffect {}

    /**
     * Reports that the replica's role, term or known leader changed.
     *
     * @param leader the leader of the term, or null while unknown
     */
    record RoleChanged(Role role, long term, ReplicaId leader) implements ConsensusEffect {}

    /**
     * Reports that a requested leadership transfer has ended: this replica does not lead, no
     * successor is in contact, or the transfer timed out.
     */
    record LeadershipTransferEnded() implements ConsensusEffect {}

    /**
     * Reports that a replica that stops soon has no vote any more, or that no other replica could
     * vote in its place.
     */
    record VoteHandedOver() implements ConsensusEffect {}

    /**
     * Reports that the newest membership in this replica's log changed. The shell updates its
     * connections.
     */
    record MembershipChanged(Membership membership) implements ConsensusEffect {}
}
