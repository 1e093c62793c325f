package org.laurelweir.consensus;

import org.laurelweir.consensus.ReplicaMessage.SnapshotChunk;
import org.laurelweir.consensus.ReplicaMessage.SnapshotReply;

/** Assembles a leader's snapshot from its chunks and installs it. */
final class SnapshotReceiver {
    private final ReplicaState mState;
    private final Applier mApplier;
    private long mLeaderTerm;
    private long mSnapshotIndex;
    private byte[] mData = new byte[0];
    private int mReceivedBytes;

    SnapshotReceiver(ReplicaState state, Applier applier) {
        mState = state;
        mApplier = applier;
    }

    /** Handles a chunk from the leader of the current term and replies to it. */
    void onChunk(ReplicaId from, SnapshotChunk m) {
        if (m.index() <= mApplier.commitIndex()) {
            reply(from, m, m.totalBytes(), true);
            return;
        }
        // Leaders may encode the same state differently, so only chunks of the same term are
        // combined.
        if (m.term() != mLeaderTerm || m.index() != mSnapshotIndex) {
            mLeaderTerm = m.term();
            mSnapshotIndex = m.index();
            mData = new byte[m.totalBytes()];
            mReceivedBytes = 0;
        }
        if (m.offset() == mReceivedBytes) {
            System.arraycopy(m.data(), 0, mData, mReceivedBytes, m.data().length);
            mReceivedBytes += m.data().length;
        }
        boolean isComplete = mReceivedBytes == mData.length;
        if (isComplete) {
            install(new Snapshot(m.index(), m.snapshotTerm(), m.membership(), mData));
        }
        reply(from, m, mReceivedBytes, isComplete);
    }

    private void install(Snapshot snapshot) {
        ReplicatedLog log = mState.log();
        boolean matchesLog = log.termAt(snapshot.index()) == snapshot.term();
        if (matchesLog) {
            mState.compact(snapshot);
        } else {
            log.reset(snapshot);
        }
        mState.diskWrites().write(snapshot, !matchesLog);
        mApplier.install(snapshot);
        mLeaderTerm = 0;
        mData = new byte[0];
    }

    private void reply(ReplicaId from, SnapshotChunk m, int nextOffset, boolean installed) {
        mState.sendAfterSync(
                from,
                new SnapshotReply(mState.term(), m.index(), nextOffset, installed, m.round()));
    }
}
