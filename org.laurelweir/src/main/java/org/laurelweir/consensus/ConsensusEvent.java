package org.laurelweir.consensus;

import java.util.List;

/** An input of {@link ConsensusReducer}. */
public sealed interface ConsensusEvent {
    /**
     * The first event of a replica: the state read from its disk.
     *
     * @param hardState the term and vote
     * @param snapshot the newest snapshot, or {@link Snapshot#NONE}; the shell has already loaded
     *     it into the state machine
     * @param entries the log after the snapshot, consecutive entries
     * @param commitIndex index up to which the entries on this disk are known to be committed, or 0
     *     if unknown
     */
    record Recovered(
            HardState hardState, Snapshot snapshot, List<LogEntry> entries, long commitIndex)
            implements ConsensusEvent {
        /** Creates the event for a disk without a recorded commit index. */
        public Recovered(HardState hardState, Snapshot snapshot, List<LogEntry> entries) {
            this(hardState, snapshot, entries, 0);
        }
    }

    /**
     * Writes the initial membership into an empty log. The shell sends this event to a single
     * replica, once in the lifetime of a deployment, after all initial replicas have reported that
     * their disks are new. Ignored if the log is not empty.
     */
    record Bootstrapped(Membership initial) implements ConsensusEvent {}

    /** A message addressed to this replica id was received. */
    record MessageReceived(ReplicaId from, ReplicaMessage message) implements ConsensusEvent {}

    /**
     * A caller proposes a command. The reducer answers with {@link
     * ConsensusEffect.ProposalAccepted} or {@link ConsensusEffect.ProposalRejected} under the same
     * id.
     */
    record Proposed(long proposalId, byte[] command) implements ConsensusEvent {}

    /**
     * A caller proposes a membership change. The reducer answers with {@link
     * ConsensusEffect.ProposalAccepted} or {@link ConsensusEffect.ProposalRejected} under the same
     * id.
     */
    record MembershipChangeProposed(long proposalId, MembershipChange change)
            implements ConsensusEvent {}

    /**
     * A caller requests a linearizable read. The reducer answers with {@link
     * ConsensusEffect.ReadReady} or {@link ConsensusEffect.ReadRejected} under the same id.
     */
    record ReadRequested(long readId) implements ConsensusEvent {}

    /**
     * The replica is about to stop. If it leads, it first transfers leadership to another voter.
     * The reducer answers with {@link ConsensusEffect.LeadershipTransferEnded}.
     */
    record LeadershipTransferRequested() implements ConsensusEvent {}

    /**
     * The replica stops soon. It tells this to each leader, so that another replica can vote in its
     * place. The reducer answers with {@link ConsensusEffect.VoteHandedOver}.
     */
    record Leaving() implements ConsensusEvent {}

    /** Every {@link ConsensusEffect.Persist} up to this sequence number is synced to disk. */
    record Persisted(long sequence) implements ConsensusEvent {}

    /**
     * The result of {@link ConsensusEffect.TakeSnapshot}.
     *
     * @param index the index from the effect, the last entry applied to the state
     * @param state the encoded state
     */
    record SnapshotTaken(long index, byte[] state) implements ConsensusEvent {}

    /** Time has passed. The shell sends several ticks in each heartbeat interval. */
    record Tick() implements ConsensusEvent {}
}
