package org.laurelweir.consensus;

import java.time.Instant;
import java.util.List;
import java.util.function.Consumer;

/** What all concerns of one replica share: its term, vote, role and log, and the way out. */
final class ReplicaState {
    private final ReplicaId mSelf;
    private final ConsensusConfig mConfig;
    private final ReplicatedLog mLog = new ReplicatedLog();
    private final DiskWriteQueue mDiskWrites = new DiskWriteQueue();
    private HardState mHardState = HardState.INITIAL;
    private Role mRole = Role.FOLLOWER;
    private ReplicaId mLeader;
    private Membership mReportedMembership = Membership.EMPTY;
    private Instant mNow;
    private Consumer<? super ConsensusEffect> mEffects;

    ReplicaState(ReplicaId self, ConsensusConfig config) {
        mSelf = self;
        mConfig = config;
    }

    /** Opens a step. */
    void beginStep(Instant now, Consumer<? super ConsensusEffect> effects) {
        mNow = now;
        mEffects = effects;
    }

    /** Ends a step: writes what has gathered and tells of a new membership. */
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

    /** Returns the leader of this term, or null while unknown. */
    ReplicaId leader() {
        return mLeader;
    }

    boolean isVoter() {
        return mLog.membership().isVoter(mSelf);
    }

    /** Moves to a higher term, as a follower of nobody known. */
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

    /** Keeps a snapshot of a part of the log, and of the log as much as is set. */
    void compact(Snapshot snapshot) {
        mLog.compact(
                snapshot, mConfig.snapshotTailEntries(), mConfig.logLimits().snapshotTailBytes());
    }

    /**
     * Returns whether so many bytes may wait for the disk besides those that do. While a disk hangs
     * the other replicas may go on, and without a bound all that they accept would gather here.
     */
    boolean hasDiskQueueRoom(long bytes) {
        return mDiskWrites.unsyncedBytes() + bytes <= mConfig.logLimits().maxUncommittedBytes();
    }

    /** Appends entries that continue the log, here and on disk. */
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
     * Sends a message that promises something about this replica's state once that state is synced.
     * Without the wait a crash would take back a vote or an entry that others have counted, and an
     * accepted proposal could be lost. A promise made in an earlier term is dropped: nobody waits
     * for it any more.
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
