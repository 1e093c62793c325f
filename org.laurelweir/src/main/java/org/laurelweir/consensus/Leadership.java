package org.laurelweir.consensus;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.laurelweir.consensus.ConsensusEffect.ProposalAccepted;
import org.laurelweir.consensus.ConsensusEffect.ProposalRejected;
import org.laurelweir.lib.ResultCode;

/**
 * The leader's side of one term: appends proposals to the log, commits what a quorum holds, and
 * steps down without contact to a quorum.
 */
final class Leadership {
    private static final byte[] EMPTY = new byte[0];

    /**
     * Election timeouts after which a leader whose disk takes no writes gives up its leadership.
     */
    private static final int DISK_STALL_ELECTION_TIMEOUTS = 2;

    private final ReplicaState mState;
    private final Applier mApplier;
    private final Replication mReplication;
    private final PendingProposals mPendingProposals;
    private final PendingReads mPendingReads;
    private final MembershipRules mMembershipRules;
    private final LeadershipTransfer mTransfer;
    private Instant mNextHeartbeat;

    /** Since when entries are committed that are not durable here; null if there are none. */
    private Instant mDiskBehindSince;

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

    /**
     * Starts the term with an entry of its own. The leader can't commit entries of earlier terms by
     * counting their copies.
     */
    void begin() {
        append(LogEntry.Kind.NO_OP, EMPTY);
    }

    /** Ends the term and rejects all pending proposals and reads. */
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
        mTransfer.beginRequested();
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

    /**
     * Rejects a proposal during a leadership transfer, before it is in any log. Returns whether a
     * transfer is in progress.
     */
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
        boolean isStable = isMembershipCommitted() && !mState.log().membership().isJoint();
        ResultCode code = mMembershipRules.check(change, next, isStable);
        if (code != ResultCode.OK) {
            reject(proposalId, code);
            return;
        }
        if (next.equals(mState.log().membership())) {
            mState.emit(new ProposalAccepted(proposalId, mState.log().membershipIndex()));
            return;
        }
        mPendingProposals.add(proposalId, appendMembership(next));
    }

    private LogEntry appendMembership(Membership next) {
        LogEntry entry = append(LogEntry.Kind.MEMBERSHIP, next.encode());
        mReplication.updateFollowers();
        return entry;
    }

    /**
     * Completes a replacement once its joint membership is committed. A quorum then has the joint
     * membership, so that no quorum of the old voters alone can decide anything any more. A new
     * leader completes what its predecessor began.
     */
    private void completeReplacement() {
        Membership current = mState.log().membership();
        if (current.isJoint() && isMembershipCommitted()) {
            appendMembership(current.withoutPreviousVoters());
        }
    }

    private void reject(long proposalId, ResultCode code) {
        mState.emit(new ProposalRejected(proposalId, code, mState.self()));
    }

    /** Returns whether the newest membership and an entry of the current term are committed. */
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
            // A leader without contact to a quorum can't commit. After it steps down, its callers
            // look for another leader.
            mState.become(Role.FOLLOWER, null);
            return;
        }
        transferIfDiskStalls();
        if (!mState.now().isBefore(mNextHeartbeat)) {
            mNextHeartbeat = mState.now().plus(mState.config().heartbeatInterval());
            mReplication.sendHeartbeats();
            mTransfer.onHeartbeat();
        }
    }

    /**
     * Transfers the leadership if the others have committed without this replica's disk for some
     * time, for example because it is full. A follower with such a disk does not reply, so that a
     * spare can take its place; a leader would keep its place.
     */
    private void transferIfDiskStalls() {
        boolean isBehind = mState.diskWrites().durableIndex() < mApplier.commitIndex();
        if (!isBehind) {
            mDiskBehindSince = null;
        } else if (mDiskBehindSince == null) {
            mDiskBehindSince = mState.now();
        } else if (hasDiskBeenBehindFor(DISK_STALL_ELECTION_TIMEOUTS)
                && !mTransfer.isInProgress()) {
            mDiskBehindSince = null;
            mTransfer.begin();
        }
    }

    private boolean hasDiskBeenBehindFor(int electionTimeouts) {
        Duration time = mState.config().electionTimeout().multipliedBy(electionTimeouts);
        return mDiskBehindSince != null && !mDiskBehindSince.plus(time).isAfter(mState.now());
    }

    private boolean isQuorumInContact() {
        return mState.log().membership().hasQuorum(this::isInContact);
    }

    private boolean isInContact(ReplicaId id) {
        if (id.equals(mState.self())) {
            return true;
        }
        FollowerProgress progress = mReplication.progress(id);
        Instant earliest = mState.now().minus(mState.config().electionTimeout());
        return progress != null && progress.lastContact().isAfter(earliest);
    }

    /** Returns whether a replica is in contact and its log is close to the leader's. */
    boolean hasCaughtUp(ReplicaId id) {
        boolean isDiskStalled = id.equals(mState.self()) && hasDiskBeenBehindFor(1);
        return !isDiskStalled && mMembershipRules.hasCaughtUp(id);
    }

    /** Returns when another replica last replied, or empty if it is not a member. */
    Optional<Instant> lastContact(ReplicaId id) {
        return Optional.ofNullable(mReplication.progress(id)).map(FollowerProgress::lastContact);
    }

    /** Returns whether another replica has told that it stops soon. */
    boolean isLeaving(ReplicaId id) {
        FollowerProgress progress = mReplication.progress(id);
        return progress != null && progress.isLeaving();
    }

    void onAppendReply(ReplicaId from, ReplicaMessage.AppendReply m) {
        mReplication.onAppendReply(from, m);
    }

    void onSnapshotReply(ReplicaId from, ReplicaMessage.SnapshotReply m) {
        mReplication.onSnapshotReply(from, m);
    }

    /**
     * Makes the progress that the event of this step allows: commits entries, answers reads, sends
     * entries, continues a leadership transfer.
     */
    void advance() {
        commit();
        completeReplacement();
        mPendingReads.advance(hasCommittedInTerm());
        mReplication.sendEntries();
        mTransfer.advance(mApplier.commitIndex());
        stepDownIfRemoved();
    }

    /**
     * Commits the entries that a quorum holds. A later leader whose log ends in a higher term may
     * still replace an entry of an earlier term, even if a quorum holds that entry. So only an
     * entry of the current term is committed by counting; it commits all entries before it.
     */
    private void commit() {
        long index = quorumIndex();
        if (index > mApplier.commitIndex() && mState.log().termAt(index) == mState.term()) {
            mApplier.commitTo(index);
        }
    }

    private long quorumIndex() {
        return mState.log().membership().quorumValue(this::durableIndexOf);
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
