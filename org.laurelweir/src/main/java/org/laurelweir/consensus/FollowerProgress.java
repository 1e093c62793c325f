package org.laurelweir.consensus;

import java.time.Instant;
import java.util.ArrayDeque;

/** What a leader knows of one other replica and has on the way to it. */
final class FollowerProgress {
    /** How entries are sent. */
    enum Mode {
        /** One message at a time, until the logs' common end is found. */
        PROBE,
        /** Several messages ahead of their replies. */
        REPLICATE,
        /** Pieces of a snapshot, one at a time. */
        SNAPSHOT
    }

    /** An append message without an answer. */
    private record InFlightAppend(long lastIndex, long bytes) {}

    private final ArrayDeque<InFlightAppend> mInFlight = new ArrayDeque<>();
    private long mInFlightBytes;
    private Mode mMode = Mode.PROBE;
    private boolean mProbeSent;
    private long mMatchIndex;
    private long mNextIndex;
    private Instant mLastContact;
    private long mAnsweredRound;
    private Snapshot mSnapshot;
    private int mSnapshotOffset;

    FollowerProgress(long nextIndex, Instant now) {
        mNextIndex = nextIndex;
        mLastContact = now;
    }

    Mode mode() {
        return mMode;
    }

    long matchIndex() {
        return mMatchIndex;
    }

    long nextIndex() {
        return mNextIndex;
    }

    /** Returns when the last reply came. */
    Instant lastContact() {
        return mLastContact;
    }

    /** Returns the last contact round that was answered. */
    long answeredRound() {
        return mAnsweredRound;
    }

    void lastContact(Instant now, long round) {
        mLastContact = now;
        mAnsweredRound = Math.max(mAnsweredRound, round);
    }

    /**
     * Returns whether entries may be sent now.
     *
     * @param maxInFlight most messages without an answer
     * @param maxBytes bytes without an answer after which no other message is sent
     */
    boolean canSend(int maxInFlight, int maxBytes) {
        if (mMode == Mode.PROBE) {
            return !mProbeSent;
        }
        return mMode == Mode.REPLICATE
                && mInFlight.size() < maxInFlight
                && mInFlightBytes < maxBytes;
    }

    /** Takes note of entries sent, up to an index, and of their bytes. */
    void onSent(long lastIndex, long bytes) {
        if (mMode == Mode.PROBE) {
            mProbeSent = true;
            return;
        }
        mInFlight.add(new InFlightAppend(lastIndex, bytes));
        mInFlightBytes += bytes;
        mNextIndex = lastIndex + 1;
    }

    /** Lets a probe be sent again, since it or its reply may be lost. */
    void allowProbe() {
        mProbeSent = false;
    }

    void onMatch(long index) {
        mMatchIndex = Math.max(mMatchIndex, index);
        while (!mInFlight.isEmpty() && mInFlight.peek().lastIndex() <= mMatchIndex) {
            mInFlightBytes -= mInFlight.poll().bytes();
        }
        if (mMode == Mode.PROBE) {
            mMode = Mode.REPLICATE;
            mNextIndex = mMatchIndex + 1;
        }
        mNextIndex = Math.max(mNextIndex, mMatchIndex + 1);
    }

    /**
     * Goes back after a mismatch, though never before what is known to match: a follower that skips
     * a whole term may name an index before it, and so may a late reply.
     */
    void onMismatch(long lastToTry) {
        if (mMode == Mode.SNAPSHOT) {
            return;
        }
        probeFrom(Math.max(mMatchIndex + 1, Math.min(mNextIndex, lastToTry + 1)));
    }

    private void clearInFlight() {
        mInFlight.clear();
        mInFlightBytes = 0;
    }

    private void probeFrom(long nextIndex) {
        mMode = Mode.PROBE;
        mProbeSent = false;
        clearInFlight();
        mNextIndex = nextIndex;
    }

    void startSnapshot(Snapshot snapshot) {
        mMode = Mode.SNAPSHOT;
        clearInFlight();
        mSnapshot = snapshot;
        mSnapshotOffset = 0;
    }

    Snapshot snapshot() {
        return mSnapshot;
    }

    int snapshotOffset() {
        return mSnapshotOffset;
    }

    /**
     * Takes note of a snapshot reply.
     *
     * @return whether the next piece is due now
     */
    boolean onSnapshotReply(ReplicaMessage.SnapshotReply reply) {
        if (mMode != Mode.SNAPSHOT || reply.index() != mSnapshot.index()) {
            return false;
        }
        if (reply.installed()) {
            mMatchIndex = Math.max(mMatchIndex, mSnapshot.index());
            mSnapshot = null;
            probeFrom(mMatchIndex + 1);
            return false;
        }
        // A smaller offset comes from a repeated reply or a restarted follower; the heartbeat's
        // repetition serves the latter, and the former must not double what is on the way.
        boolean advanced = reply.nextOffset() > mSnapshotOffset;
        mSnapshotOffset = reply.nextOffset();
        return advanced;
    }
}
