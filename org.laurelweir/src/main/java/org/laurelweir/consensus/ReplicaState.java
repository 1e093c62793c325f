package org.laurelweir.consensus;

import java.time.Instant;
import java.util.List;
import java.util.function.Consumer;

/**
 * The state that all parts of a replica share: its term, vote, role and log, and the receiver of
 * its effects.
 */
final class ReplicaState {
    private final ReplicaId mSelf;
    private final ConsensusConfig mConfig;
    private final ReplicatedLog mLog = new ReplicatedLog();
    private final DiskWriteQueue mDiskWrites = new DiskWriteQueue();
    private HardState mHardState = HardState.INITIAL;
    private Role mRole = Role.FOLLOWER;
    private ReplicaId mLeader;
    private Membership mReportedMembership = Membership.EMPTY;
    private boolean mIsLeaving;
    private Instant mNow;
    private Consumer<? super ConsensusEffect> mEffects;

    ReplicaState(ReplicaId self, ConsensusConfig config) {
        mSelf = self;
        mConfig = config;
    }

    /** Starts a step with its time and the receiver of its effects. */
    void beginStep(Instant now, Consumer<? super ConsensusEffect> effects) {
        mNow = now;
        mEffects = effects;
    }

    /** Ends a step: issues the queued disk writes and reports a changed membership. */
    void endStep() {
        mDiskWrites.flush(mEffects);
        if (!mReportedMembership.equals(mLog.membership())) {
            mReportedMembership = mLog.membership();
            emit(new ConsensusEffect.MembershipChanged(mReportedMembership));
        }
        mEffects = null;
    }

    void recover(ConsensusEvent.Recovered disk) {
        mHardState = disk.hardState();
        mLog.reset(disk.snapshot());
        disk.entries().forEach(mLog::append);
        mDiskWrites.reset(mLog.lastIndex());
        emit(new ConsensusEffect.RoleChanged(mRole, term(), mLeader));
    }

    ReplicaId self() {
        return mSelf;
    }

    ConsensusConfig config() {
        return mConfig;
    }

    ReplicatedLog log() {
        return mLog;
    }

    DiskWriteQueue diskWrites() {
        return mDiskWrites;
    }

    Instant now() {
        return mNow;
    }

    long term() {
        return mHardState.term();
    }

    ReplicaId votedFor() {
        return mHardState.votedFor();
    }

    Role role() {
        return mRole;
    }

    /** Returns the leader of the current term, or null while unknown. */
    ReplicaId leader() {
        return mLeader;
    }

    boolean isVoter() {
        return mLog.membership().isVoter(mSelf);
    }

    /** Returns whether this replica stops soon. */
    boolean isLeaving() {
        return mIsLeaving;
    }

    void setLeaving() {
        mIsLeaving = true;
    }

    /** Moves to a higher term as a follower without a known leader. */
    void adoptTerm(long term) {
        setHardState(new HardState(term, null));
        become(Role.FOLLOWER, null);
    }

    void setHardState(HardState hardState) {
        mHardState = hardState;
        mDiskWrites.write(hardState);
    }

    void become(Role role, ReplicaId leader) {
        boolean same = role == mRole && (leader == null ? mLeader == null : leader.equals(mLeader));
        mRole = role;
        mLeader = leader;
        if (!same) {
            emit(new ConsensusEffect.RoleChanged(role, term(), leader));
        }
    }

    /** Stores a snapshot and removes the entries that it covers, except for the configured tail. */
    void compact(Snapshot snapshot) {
        mLog.compact(
                snapshot, mConfig.snapshotTailEntries(), mConfig.logLimits().snapshotTailBytes());
    }

    /**
     * Returns whether this many more bytes may be queued for the disk. While this replica's disk
     * hangs, the other replicas may continue; without a limit, all entries that they accept would
     * pile up in memory here.
     */
    boolean hasDiskQueueRoom(long bytes) {
        return mDiskWrites.unsyncedBytes() + bytes <= mConfig.logLimits().maxUncommittedBytes();
    }

    /** Appends entries to the end of the log and queues them for the disk. */
    void append(List<LogEntry> entries) {
        entries.forEach(mLog::append);
        mDiskWrites.write(entries);
    }

    void emit(ConsensusEffect effect) {
        mEffects.accept(effect);
    }

    void send(ReplicaId to, ReplicaMessage message) {
        emit(new ConsensusEffect.Send(to, message));
    }

    /**
     * Sends a message that depends on this replica's state, once that state is synced. If it were
     * sent earlier, a crash could revoke a vote or an entry that other replicas have counted, and
     * an accepted proposal could be lost. The message is dropped if the term has changed meanwhile,
     * because no replica waits for it then.
     */
    void sendAfterSync(ReplicaId to, ReplicaMessage message) {
        long term = term();
        mDiskWrites.afterSync(
                () -> {
                    if (term() == term) {
                        send(to, message);
                    }
                });
    }
}
