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
    private final Proposals mProposals;
    private final Reads mReads;
    private final MembershipRules mRules;
    private final LeadershipTransfer mHandOver;
    private Instant mNextHeartbeat;

    Leadership(ReplicaState state, Applier applier) {
        mState = state;
        mApplier = applier;
        mReplication = new Replication(state, applier);
        mProposals = new Proposals(state);
        mReads = new Reads(state, applier, mReplication);
        mRules = new MembershipRules(state, mReplication, this::isHeard);
        mHandOver = new LeadershipTransfer(state, mReplication, this::isHeard);
        mNextHeartbeat = state.now();
    }

    /** Opens the term with an entry of its own, since entries of earlier terms can't be counted. */
    void begin() {
        append(LogEntry.Kind.NO_OP, EMPTY);
    }

    /** Closes the term; what is pending gets its answer. */
    void end() {
        mProposals.end();
        mReads.end();
        mHandOver.end();
    }

    private LogEntry append(LogEntry.Kind kind, byte[] payload) {
        LogEntry entry = new LogEntry(mState.log().lastIndex() + 1, mState.term(), kind, payload);
        mState.append(List.of(entry));
        return entry;
    }

    void onHandOverRequested() {
        mHandOver.begin();
    }

    void onProposed(long proposalId, byte[] command) {
        if (isLeaving(proposalId)) {
            return;
        }
        if (command.length > mState.config().bounds().command()) {
            reject(proposalId, ResultCode.BODY_TOO_LARGE);
            return;
        }
        if (!mProposals.hasRoom(command.length)) {
            reject(proposalId, ResultCode.OVERLOADED);
            return;
        }
        mProposals.add(proposalId, append(LogEntry.Kind.COMMAND, command));
    }

    /** Turns a proposal away while another is to lead; it is in no log. */
    private boolean isLeaving(long proposalId) {
        if (mHandOver.isUnderWay()) {
            mState.emit(new ProposalRejected(proposalId, ResultCode.NOT_LEADER, null));
        }
        return mHandOver.isUnderWay();
    }

    void onMembershipChange(long proposalId, MembershipChange change) {
        if (isLeaving(proposalId)) {
            return;
        }
        Membership next = mRules.after(change);
        ResultCode code = mRules.judge(change, next, isSettled());
        if (code != ResultCode.OK) {
            reject(proposalId, code);
            return;
        }
        if (next.equals(mState.log().membership())) {
            mState.emit(new ProposalAccepted(proposalId, mState.log().membershipIndex()));
            return;
        }
        mProposals.add(proposalId, append(LogEntry.Kind.MEMBERSHIP, next.encode()));
        mReplication.updateFollowers();
    }

    private void reject(long proposalId, ResultCode code) {
        mState.emit(new ProposalRejected(proposalId, code, mState.self()));
    }

    private boolean isSettled() {
        return isTermCommitted() && mState.log().membershipIndex() <= mApplier.commitIndex();
    }

    private boolean isTermCommitted() {
        return mState.log().termAt(mApplier.commitIndex()) == mState.term();
    }

    void onReadRequested(long readId) {
        mReads.add(readId);
    }

    void onTick() {
        if (!isQuorumHeard()) {
            // A leader cut off from its quorum can't commit; its callers should look for another.
            mState.become(Role.FOLLOWER, null);
            return;
        }
        if (!mState.now().isBefore(mNextHeartbeat)) {
            mNextHeartbeat = mState.now().plus(mState.config().heartbeatInterval());
            mReplication.sendHeartbeats();
            mHandOver.onHeartbeat();
        }
    }

    private boolean isQuorumHeard() {
        Membership membership = mState.log().membership();
        return membership.voters().stream().filter(this::isHeard).count() >= membership.quorum();
    }

    private boolean isHeard(ReplicaId id) {
        if (id.equals(mState.self())) {
            return true;
        }
        FollowerProgress p = mReplication.progress(id);
        Instant limit = mState.now().minus(mState.config().electionTimeout());
        return p != null && p.heard().isAfter(limit);
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
        mReads.advance(isTermCommitted());
        mReplication.sendEntries();
        mHandOver.advance(mApplier.commitIndex());
        stepDownOnceRemoved();
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
            return mState.durability().durableIndex();
        }
        return mReplication.progress(voter).matchIndex();
    }

    private void stepDownOnceRemoved() {
        if (!mState.isVoter() && isSettled()) {
            mState.become(Role.FOLLOWER, null);
        }
    }

    void onApplied(long index) {
        mProposals.onApplied(index);
    }
}
