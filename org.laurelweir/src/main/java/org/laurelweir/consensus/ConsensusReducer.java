package org.laurelweir.consensus;

import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.laurelweir.consensus.ConsensusEvent.Bootstrapped;
import org.laurelweir.consensus.ConsensusEvent.MembershipChangeProposed;
import org.laurelweir.consensus.ConsensusEvent.MessageReceived;
import org.laurelweir.consensus.ConsensusEvent.Persisted;
import org.laurelweir.consensus.ConsensusEvent.Proposed;
import org.laurelweir.consensus.ConsensusEvent.ReadRequested;
import org.laurelweir.consensus.ConsensusEvent.Recovered;
import org.laurelweir.consensus.ConsensusEvent.SnapshotTaken;
import org.laurelweir.consensus.ReplicaMessage.AppendReply;
import org.laurelweir.consensus.ReplicaMessage.AppendRequest;
import org.laurelweir.consensus.ReplicaMessage.PreVoteReply;
import org.laurelweir.consensus.ReplicaMessage.PreVoteRequest;
import org.laurelweir.consensus.ReplicaMessage.SnapshotChunk;
import org.laurelweir.consensus.ReplicaMessage.SnapshotReply;
import org.laurelweir.consensus.ReplicaMessage.VoteReply;
import org.laurelweir.consensus.ReplicaMessage.VoteRequest;
import org.laurelweir.errors.LaurelweirException;
import org.laurelweir.lib.Reducer;
import org.laurelweir.lib.ResultCode;

/**
 * One replica of the Raft log. The first event is {@link ConsensusEvent.Recovered}. After an
 * exception the reducer must not be used again: the replica has to restart from its disk.
 */
public final class ConsensusReducer implements Reducer<ConsensusEvent, ConsensusEffect> {
    private final ReplicaState mState;
    private final Elections mElections;
    private final Applier mApplier;
    private final AppendReceiver mAppendReceiver;
    private final SnapshotReceiver mSnapshotReceiver;
    private final VoteHandover mVoteHandover;
    private Leadership mLeadership;

    /**
     * Creates a replica.
     *
     * @param self the id of this replica, with the storage id of its disk
     * @param config timeouts and limits, the same on all replicas
     * @param seed seed for random election timeouts; must differ between replicas
     */
    public ConsensusReducer(ReplicaId self, ConsensusConfig config, long seed) {
        mState = new ReplicaState(self, config);
        mElections = new Elections(mState, seed);
        mApplier = new Applier(mState, this::onApplied);
        mAppendReceiver = new AppendReceiver(mState, mApplier);
        mSnapshotReceiver = new SnapshotReceiver(mState, mApplier);
        mVoteHandover = new VoteHandover(mState, mApplier);
    }

    public Role role() {
        return mState.role();
    }

    public long term() {
        return mState.term();
    }

    /** Returns the leader of the current term, or null while unknown. */
    public ReplicaId leader() {
        return mState.leader();
    }

    /** Returns the newest membership in this replica's log, which may be uncommitted. */
    public Membership membership() {
        return mState.log().membership();
    }

    /**
     * Returns whether a replica replied within the last election timeout and its log is close to
     * this one. False unless this replica leads.
     */
    public boolean hasCaughtUp(ReplicaId id) {
        return mLeadership != null && mLeadership.hasCaughtUp(id);
    }

    /**
     * Returns when another replica last replied to this one as the leader, or the time of this
     * leader's election if it has not replied since. Empty if this replica does not lead, or the
     * other one is not a member.
     */
    public Optional<Instant> lastContact(ReplicaId id) {
        return mLeadership == null ? Optional.empty() : mLeadership.lastContact(id);
    }

    /**
     * Returns whether another replica has told this one as the leader that it stops soon, so that
     * another one should vote in its place.
     */
    public boolean isLeaving(ReplicaId id) {
        return mLeadership != null && mLeadership.isLeaving(id);
    }

    ReplicatedLog log() {
        return mState.log();
    }

    /** Returns the size in bytes of the log entries in memory. */
    public long logBytes() {
        return mState.log().bytes();
    }

    /** Returns the size in bytes of the last snapshot's state. */
    public long snapshotBytes() {
        return mState.log().snapshot().state().length;
    }

    /**
     * Returns the index of the last entry known to be committed. All entries up to it are applied.
     */
    public long commitIndex() {
        return mApplier.commitIndex();
    }

    @Override
    public void step(Instant now, ConsensusEvent event, Consumer<? super ConsensusEffect> effects) {
        mState.beginStep(now, effects);
        dispatch(event);
        updateLeadership();
        if (mLeadership != null) {
            mLeadership.advance();
            updateLeadership();
        }
        mApplier.markCommitted();
        mVoteHandover.advance();
        mState.endStep();
    }

    /** Starts or ends the {@link Leadership} when the role has changed. */
    private void updateLeadership() {
        boolean isLeader = mState.role() == Role.LEADER;
        if (mLeadership != null && !isLeader) {
            mLeadership.end();
            mLeadership = null;
            mElections.restartTimer();
        }
        if (mLeadership == null && isLeader) {
            mLeadership = new Leadership(mState, mApplier);
            mLeadership.begin();
        }
    }

    private void dispatch(ConsensusEvent event) {
        if (event instanceof MessageReceived e) {
            onMessage(e.from(), e.message());
        } else if (event instanceof ConsensusEvent.Tick) {
            onTick();
        } else if (event instanceof Persisted e) {
            mState.diskWrites().onSynced(e.sequence());
        } else if (event instanceof Proposed e) {
            onProposed(e);
        } else if (event instanceof ReadRequested e) {
            onReadRequested(e);
        } else if (event instanceof MembershipChangeProposed e) {
            onMembershipChange(e);
        } else if (event instanceof SnapshotTaken e) {
            mApplier.onSnapshotTaken(e);
        } else if (event instanceof Recovered e) {
            onRecovered(e);
        } else if (event instanceof ConsensusEvent.LeadershipTransferRequested) {
            onTransferRequested();
        } else if (event instanceof ConsensusEvent.Leaving) {
            mVoteHandover.begin();
        } else if (event instanceof Bootstrapped e) {
            onBootstrapped(e);
        }
    }

    private void onRecovered(Recovered disk) {
        mState.recover(disk);
        mApplier.recover(disk.commitIndex());
        mElections.startStartupTimer();
    }

    private void onBootstrapped(Bootstrapped e) {
        if (mState.log().lastIndex() > 0) {
            return;
        }
        byte[] members = e.initial().encode();
        mState.append(List.of(new LogEntry(1, 0, LogEntry.Kind.MEMBERSHIP, members)));
    }

    private void onTransferRequested() {
        if (mLeadership == null) {
            mState.emit(new ConsensusEffect.LeadershipTransferEnded());
        } else {
            mLeadership.onTransferRequested();
        }
    }

    private void onTick() {
        if (mLeadership != null) {
            mLeadership.onTick();
        } else {
            mElections.onTick();
        }
    }

    private void onProposed(Proposed e) {
        if (mLeadership == null) {
            rejectProposal(e.proposalId());
        } else {
            mLeadership.onProposed(e.proposalId(), e.command());
        }
    }

    private void onMembershipChange(MembershipChangeProposed e) {
        if (mLeadership == null) {
            rejectProposal(e.proposalId());
        } else {
            mLeadership.onMembershipChange(e.proposalId(), e.change());
        }
    }

    private void rejectProposal(long id) {
        mState.emit(
                new ConsensusEffect.ProposalRejected(id, ResultCode.NOT_LEADER, mState.leader()));
    }

    private void onReadRequested(ReadRequested e) {
        if (mLeadership == null) {
            mState.emit(
                    new ConsensusEffect.ReadRejected(
                            e.readId(), ResultCode.NOT_LEADER, mState.leader()));
        } else {
            mLeadership.onReadRequested(e.readId());
        }
    }

    private void onApplied(long index) {
        if (mLeadership != null) {
            mLeadership.onApplied(index);
        }
    }

    private void onMessage(ReplicaId from, ReplicaMessage message) {
        if (message instanceof PreVoteRequest m) {
            mElections.onPreVoteRequest(from, m);
        } else if (message instanceof PreVoteReply m) {
            mElections.onPreVoteReply(from, m);
        } else if (message instanceof VoteRequest m) {
            mElections.onVoteRequest(from, m);
        } else {
            onTermMessage(from, message);
        }
    }

    /**
     * Handles the messages whose term is the sender's current term. Pre-votes and vote requests are
     * not among them: their term may not have started yet.
     */
    private void onTermMessage(ReplicaId from, ReplicaMessage message) {
        if (message.term() > mState.term()) {
            mState.adoptTerm(message.term());
            updateLeadership();
        }
        if (message.term() < mState.term()) {
            rejectOldTerm(from, message);
        } else if (message instanceof VoteReply m) {
            mElections.onVoteReply(from, m);
        } else if (message instanceof ReplicaMessage.TimeoutNow) {
            mElections.onTimeoutNow();
        } else if (message instanceof AppendRequest m) {
            acceptLeader(from);
            mAppendReceiver.onAppend(from, m);
        } else if (message instanceof SnapshotChunk m) {
            acceptLeader(from);
            mSnapshotReceiver.onChunk(from, m);
        } else {
            onFollowerReply(from, message);
        }
    }

    /** Tells the leader of an earlier term that a newer term exists. Late replies are ignored. */
    private void rejectOldTerm(ReplicaId from, ReplicaMessage message) {
        if (message instanceof AppendRequest || message instanceof SnapshotChunk) {
            mState.sendAfterSync(from, new AppendReply(mState.term(), false, 0, 0, false));
        }
    }

    private void acceptLeader(ReplicaId from) {
        if (mState.role() == Role.LEADER) {
            throw new LaurelweirException(
                    ResultCode.LOG_CORRUPT,
                    "term " + mState.term() + " has two leaders: this replica and " + from);
        }
        mElections.onLeaderContact(from);
    }

    private void onFollowerReply(ReplicaId from, ReplicaMessage message) {
        if (mLeadership == null) {
            return;
        }
        if (message instanceof AppendReply m) {
            mLeadership.onAppendReply(from, m);
        } else if (message instanceof SnapshotReply m) {
            mLeadership.onSnapshotReply(from, m);
        }
    }
}
