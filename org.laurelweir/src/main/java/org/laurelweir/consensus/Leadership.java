package org.laurelweir.consensus;

import java.time.Instant;
import java.util.List;
import org.laurelweir.consensus.ConsensusEffect.ProposalAccepted;
import org.laurelweir.consensus.ConsensusEffect.ProposalRejected;
import org.laurelweir.lib.ResultCode;

/** One term of leading: orders proposals, counts copies, and ends when a quorum is out of reach. */
final class Leadership {
    private static final byte[] EMPTY = new byte[0];

    private final ReplicaState mState;
    private final Applier mApplier;
    private final Replication mReplication;
    private final PendingProposals mPendingProposals;
    private final PendingReads mPendingReads;
    private final MembershipRules mMembershipRules;
    private final LeadershipTransfer mTransfer;
    private Instant mNextHeartbeat;

    Leadership(ReplicaState state, Applier applier) {
        mState = state;
        mApplier = applier;
        mReplication = new Replication(state, applier);
        mPendingProposals = new PendingProposals(state);
        mPendingReads = new PendingReads(state, applier, mReplication);
        mMembershipRules = new MembershipRules(state, mReplication, this::isInContact);
        mTransfer = new LeadershipTransfer(state, mReplication, this::isInContact);
        mNextHeartbeat = state.now();
    }

    /** Opens the term with an entry of its own, since entries of earlier terms can't be counted. */
    void begin() {
        append(LogEntry.Kind.NO_OP, EMPTY);
    }

    /** Closes the term; what is pending gets its answer. */
    void end() {
        mPendingProposals.rejectAll();
        mPendingReads.rejectAll();
        mTransfer.end();
    }

    private LogEntry append(LogEntry.Kind kind, byte[] payload) {
        LogEntry entry = new LogEntry(mState.log().lastIndex() + 1, mState.term(), kind, payload);
        mState.append(List.of(entry));
        return entry;
    }

    void onTransferRequested() {
        mTransfer.begin();
    }

    void onProposed(long proposalId, byte[] command) {
        if (rejectDuringTransfer(proposalId)) {
            return;
        }
        if (command.length > mState.config().logLimits().maxCommandBytes()) {
            reject(proposalId, ResultCode.BODY_TOO_LARGE);
            return;
        }
        if (!mPendingProposals.hasRoom(command.length)) {
            reject(proposalId, ResultCode.OVERLOADED);
            return;
        }
        mPendingProposals.add(proposalId, append(LogEntry.Kind.COMMAND, command));
    }

    /** Turns a proposal away while another is to lead; it is in no log. */
    private boolean rejectDuringTransfer(long proposalId) {
        if (mTransfer.isInProgress()) {
            mState.emit(new ProposalRejected(proposalId, ResultCode.NOT_LEADER, null));
        }
        return mTransfer.isInProgress();
    }

    void onMembershipChange(long proposalId, MembershipChange change) {
        if (rejectDuringTransfer(proposalId)) {
            return;
        }
        Membership next = mMembershipRules.resultOf(change);
        ResultCode code = mMembershipRules.check(change, next, isMembershipCommitted());
        if (code != ResultCode.OK) {
            reject(proposalId, code);
            return;
        }
        if (next.equals(mState.log().membership())) {
            mState.emit(new ProposalAccepted(proposalId, mState.log().membershipIndex()));
            return;
        }
        mPendingProposals.add(proposalId, append(LogEntry.Kind.MEMBERSHIP, next.encode()));
        mReplication.updateFollowers();
    }

    private void reject(long proposalId, ResultCode code) {
        mState.emit(new ProposalRejected(proposalId, code, mState.self()));
    }

    private boolean isMembershipCommitted() {
        return hasCommittedInTerm() && mState.log().membershipIndex() <= mApplier.commitIndex();
    }

    private boolean hasCommittedInTerm() {
        return mState.log().termAt(mApplier.commitIndex()) == mState.term();
    }

    void onReadRequested(long readId) {
        mPendingReads.add(readId);
    }

    void onTick() {
        if (!isQuorumInContact()) {
            // A leader cut off from its quorum can't commit; its callers should look for another.
            mState.become(Role.FOLLOWER, null);
            return;
        }
        if (!mState.now().isBefore(mNextHeartbeat)) {
            mNextHeartbeat = mState.now().plus(mState.config().heartbeatInterval());
            mReplication.sendHeartbeats();
            mTransfer.onHeartbeat();
        }
    }

    private boolean isQuorumInContact() {
        Membership membership = mState.log().membership();
        return membership.voters().stream().filter(this::isInContact).count()
                >= membership.quorum();
    }

    private boolean isInContact(ReplicaId id) {
        if (id.equals(mState.self())) {
            return true;
        }
        FollowerProgress p = mReplication.progress(id);
        Instant limit = mState.now().minus(mState.config().electionTimeout());
        return p != null && p.lastContact().isAfter(limit);
    }

    void onAppendReply(ReplicaId from, ReplicaMessage.AppendReply m) {
        mReplication.onAppendReply(from, m);
    }

    void onSnapshotReply(ReplicaId from, ReplicaMessage.SnapshotReply m) {
        mReplication.onSnapshotReply(from, m);
    }

    /** Does what the event of this step has made possible: commits, answers reads, sends. */
    void advance() {
        commit();
        mPendingReads.advance(hasCommittedInTerm());
        mReplication.sendEntries();
        mTransfer.advance(mApplier.commitIndex());
        stepDownIfRemoved();
    }

    /**
     * Commits what a quorum holds. An entry of an earlier term may be on a quorum and still be
     * replaced by a later leader whose log ends in a higher term; only an entry of this term rules
     * that out, and commits all before it.
     */
    private void commit() {
        long index = quorumIndex();
        if (index > mApplier.commitIndex() && mState.log().termAt(index) == mState.term()) {
            mApplier.commitTo(index);
        }
    }

    private long quorumIndex() {
        Membership membership = mState.log().membership();
        long[] held =
                membership.voters().stream().mapToLong(this::durableIndexOf).sorted().toArray();
        return held[held.length - membership.quorum()];
    }

    private long durableIndexOf(ReplicaId voter) {
        if (voter.equals(mState.self())) {
            return mState.diskWrites().durableIndex();
        }
        return mReplication.progress(voter).matchIndex();
    }

    private void stepDownIfRemoved() {
        if (!mState.isVoter() && isMembershipCommitted()) {
            mState.become(Role.FOLLOWER, null);
        }
    }

    void onApplied(long index) {
        mPendingProposals.onApplied(index);
    }
}
