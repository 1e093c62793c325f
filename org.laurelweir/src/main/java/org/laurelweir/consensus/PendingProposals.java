package org.laurelweir.consensus;

import java.util.ArrayDeque;
import org.laurelweir.consensus.ConsensusEffect.ProposalAccepted;
import org.laurelweir.consensus.ConsensusEffect.ProposalRejected;
import org.laurelweir.lib.ResultCode;

/** The proposals of a leader's term that are not yet committed. */
final class PendingProposals {
    private final ReplicaState mState;
    private final ArrayDeque<Pending> mPending = new ArrayDeque<>();
    private long mPendingBytes;

    PendingProposals(ReplicaState state) {
        mState = state;
    }

    /**
     * Returns whether a command of this size fits into the limits for uncommitted proposals, for
     * the log and for unsynced entries.
     */
    boolean hasRoom(int bytes) {
        LogLimits limits = mState.config().logLimits();
        return mPendingBytes + bytes <= limits.maxUncommittedBytes()
                && mState.log().bytes() + bytes <= limits.maxLogBytes()
                && mState.hasDiskQueueRoom(bytes);
    }

    void add(long proposalId, LogEntry entry) {
        mPending.add(new Pending(proposalId, entry.index(), entry.payload().length));
        mPendingBytes += entry.payload().length;
    }

    void onApplied(long index) {
        while (!mPending.isEmpty() && mPending.peek().mIndex <= index) {
            Pending p = mPending.poll();
            mPendingBytes -= p.mBytes;
            mState.emit(new ProposalAccepted(p.mId, p.mIndex));
        }
    }

    /**
     * Rejects all pending proposals with OUTCOME_UNKNOWN, because the next leader's log may contain
     * them.
     */
    void rejectAll() {
        for (Pending p : mPending) {
            mState.emit(new ProposalRejected(p.mId, ResultCode.OUTCOME_UNKNOWN, mState.leader()));
        }
        mPending.clear();
    }

    /** An uncommitted proposal whose entry is in the log. */
    private static final class Pending {
        private final long mId;
        private final long mIndex;
        private final int mBytes;

        private Pending(long id, long index, int bytes) {
            mId = id;
            mIndex = index;
            mBytes = bytes;
        }
    }
}
