package org.laurelweir.consensus;

import java.util.List;

/** What happens to a replica. */
public sealed interface ConsensusEvent {
    /**
     * The first event: what the disk held.
     *
     * @param hardState the term and vote
     * @param snapshot the newest snapshot, or {@link Snapshot#NONE}; the shell has loaded it
     * @param entries the log after the snapshot, consecutive
     * @param committed an index up to which entries on this disk were known to be committed; 0 if
     *     nothing is known
     */
    record Recovered(
            HardState hardState, Snapshot snapshot, List<LogEntry> entries, long commitIndex)
            implements ConsensusEvent {
        /** Creates the event of a disk on which nothing tells what was committed. */
        public Recovered(HardState hardState, Snapshot snapshot, List<LogEntry> entries) {
            this(hardState, snapshot, entries, 0);
        }
    }

    /**
     * Writes the first membership into an empty log. Given to one replica only, once in the life of
     * a deployment, after all initial replicas have said that their disks are new; ignored if the
     * log is not empty.
     */
    record Bootstrapped(Membership initial) implements ConsensusEvent {}

    /** A message arrived that was sent to this replica id. */
    record MessageReceived(ReplicaId from, ReplicaMessage message) implements ConsensusEvent {}

    /** Someone wants a command in the log; ends in accepted or rejected under the same id. */
    record Proposed(long proposalId, byte[] command) implements ConsensusEvent {}

    /** Someone wants the membership changed; ends in accepted or rejected under the same id. */
    record MembershipChangeProposed(long proposalId, MembershipChange change)
            implements ConsensusEvent {}

    /** Someone wants to read the latest state; ends in ready or rejected under the same id. */
    record ReadRequested(long readId) implements ConsensusEvent {}

    /**
     * The replica is about to stop and, if it leads, should see another lead first. Answered by
     * {@link ConsensusEffect.LeadershipTransferEnded}.
     */
    record LeadershipTransferRequested() implements ConsensusEvent {}

    /** Every {@link ConsensusEffect.Persist} up to this sequence has been synced to disk. */
    record Persisted(long sequence) implements ConsensusEvent {}

    /**
     * Answers {@link ConsensusEffect.TakeSnapshot}.
     *
     * @param index the last entry applied to the state, as the effect gave it
     * @param state the encoded state
     */
    record SnapshotTaken(long index, byte[] state) implements ConsensusEvent {}

    /** Time has passed. Sent several times in each heartbeat interval. */
    record Tick() implements ConsensusEvent {}
}
