package org.laurelweir.consensus;

import java.util.List;
import org.laurelweir.lib.ResultCode;

/** What the shell of a replica has to do, in order. */
public sealed interface ConsensusEffect {
    /** Send a message. It may be lost. */
    record Send(ReplicaId to, ReplicaMessage message) implements ConsensusEffect {}

    /**
     * Write to disk and sync, in the order of sequences, then answer {@link
     * ConsensusEvent.Persisted}. Several may be covered by one sync and one answer.
     *
     * @param sequence rises by one, from 1, since the start of this process
     * @param hardState the new term and vote, or null if unchanged
     * @param snapshot a snapshot to keep in place of the previous one, or null; the log up to its
     *     index is not needed any more
     * @param discardLog whether the whole log on disk is void, since the snapshot came from a
     *     leader and the log does not continue it
     * @param entries consecutive; the first replaces whatever the log holds at its index and after
     */
    record Persist(
            long sequence,
            HardState hardState,
            Snapshot snapshot,
            boolean discardLog,
            List<LogEntry> entries)
            implements ConsensusEffect {}

    /**
     * Keep in mind, without a sync, that all entries up to an index are committed and on this disk.
     * A replica that starts again applies them at once. Without it the state machine stays as of
     * the last snapshot until there is a leader that has committed an entry of its own, and readers
     * get nothing for that long. May be lost; an index never told must not be kept.
     */
    record MarkCommitted(long index) implements ConsensusEffect {}

    /** Apply a committed command to the state machine. Indexes rise, with gaps. */
    record Apply(long index, long term, byte[] command) implements ConsensusEffect {}

    /** A proposal was committed; for a command, its Apply came just before. */
    record ProposalAccepted(long proposalId, long index) implements ConsensusEffect {}

    /**
     * A proposal ended without being committed under this leader.
     *
     * @param code {@link ResultCode#OUTCOME_UNKNOWN} if it may still be committed; with any other
     *     code it never will be
     * @param leader whom to ask instead, or null
     */
    record ProposalRejected(long proposalId, ResultCode code, ReplicaId leader)
            implements ConsensusEffect {}

    /**
     * The state as applied now is at least as new as any read or write ended before the request.
     */
    record ReadReady(long readId, long index) implements ConsensusEffect {}

    /** A read can't be served here; ask the leader, or again later if it is null. */
    record ReadRejected(long readId, ResultCode code, ReplicaId leader)
            implements ConsensusEffect {}

    /** Encode the state as applied now and answer {@link ConsensusEvent.SnapshotTaken}. */
    record TakeSnapshot(long index) implements ConsensusEffect {}

    /** Replace the state machine's state by the snapshot's. */
    record InstallSnapshot(Snapshot snapshot) implements ConsensusEffect {}

    /**
     * The replica's role, term or known leader changed.
     *
     * @param leader the leader of the term, or null while unknown
     */
    record RoleChanged(Role role, long term, ReplicaId leader) implements ConsensusEffect {}

    /** The replica does not lead any more, or there is nobody to hand over to. */
    record LeadershipTransferEnded() implements ConsensusEffect {}

    /** The newest membership in this replica's log changed; connect accordingly. */
    record MembershipChanged(Membership membership) implements ConsensusEffect {}
}
