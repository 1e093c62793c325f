package org.laurelweir.consensus;

import org.laurelweir.consensus.ReplicaMessage.SnapshotChunk;
import org.laurelweir.consensus.ReplicaMessage.SnapshotReply;

/** Puts a leader's snapshot together from its pieces and continues from it. */
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

    /** Takes a chunk of this term's leader. */
    void onChunk(ReplicaId from, SnapshotChunk m) {
        if (m.index() <= mApplier.commitIndex()) {
            reply(from, m, m.totalBytes(), true);
            return;
        }
        // Two leaders may encode the same state differently, so pieces of one term only fit.
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
        boolean whole = mReceivedBytes == mData.length;
        if (whole) {
            install(new Snapshot(m.index(), m.snapshotTerm(), m.membership(), mData));
        }
        reply(from, m, mReceivedBytes, whole);
    }

    private void install(Snapshot snapshot) {
        ReplicatedLog log = mState.log();
        boolean continues = log.termAt(snapshot.index()) == snapshot.term();
        if (continues) {
            mState.compact(snapshot);
        } else {
            log.reset(snapshot);
        }
        mState.diskWrites().write(snapshot, !continues);
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
