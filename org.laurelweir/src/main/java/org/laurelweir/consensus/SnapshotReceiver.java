package org.laurelweir.consensus;

import org.laurelweir.consensus.ReplicaMessage.SnapshotChunk;
import org.laurelweir.consensus.ReplicaMessage.SnapshotReply;

/** Puts a leader's snapshot together from its pieces and continues from it. */
final class SnapshotReceiver {
    private final ReplicaState mState;
    private final Applier mApplier;
    private long mTerm;
    private long mIndex;
    private byte[] mData = new byte[0];
    private int mReceived;

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
        if (m.term() != mTerm || m.index() != mIndex) {
            mTerm = m.term();
            mIndex = m.index();
            mData = new byte[m.totalBytes()];
            mReceived = 0;
        }
        if (m.offset() == mReceived) {
            System.arraycopy(m.data(), 0, mData, mReceived, m.data().length);
            mReceived += m.data().length;
        }
        boolean whole = mReceived == mData.length;
        if (whole) {
            install(new Snapshot(m.index(), m.snapshotTerm(), m.membership(), mData));
        }
        reply(from, m, mReceived, whole);
    }

    private void install(Snapshot snapshot) {
        ReplicatedLog log = mState.log();
        boolean continues = log.termAt(snapshot.index()) == snapshot.term();
        if (continues) {
            mState.compact(snapshot);
        } else {
            log.reset(snapshot);
        }
        mState.durability().write(snapshot, !continues);
        mApplier.install(snapshot);
        mTerm = 0;
        mData = new byte[0];
    }

    private void reply(ReplicaId from, SnapshotChunk m, int nextOffset, boolean installed) {
        mState.sendDurable(
                from,
                new SnapshotReply(mState.term(), m.index(), nextOffset, installed, m.round()));
    }
}
