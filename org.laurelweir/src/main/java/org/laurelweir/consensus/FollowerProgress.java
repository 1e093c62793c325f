package org.laurelweir.consensus;

import java.time.Instant;
import java.util.ArrayDeque;

/**
 * A leader's view of one other replica: how far the logs match and which messages to it are
 * unanswered.
 */
final class FollowerProgress {
    /** How the leader sends its log to the replica. */
    enum Mode {
        /** One append at a time, until the last matching entry is found. */
        PROBE,
        /** Several appends before the first reply. */
        REPLICATE,
        /** Chunks of a snapshot, one at a time. */
        SNAPSHOT
    }

    /** An append message without a reply. */
    private record InFlightAppend(long lastIndex, long bytes) {}

    private final ArrayDeque<InFlightAppend> mInFlight = new ArrayDeque<>();
    private long mInFlightBytes;
    private Mode mMode = Mode.PROBE;
    private boolean mProbeSent;
    private long mMatchIndex;
    private long mNextIndex;
    private Instant mLastContact;
    private long mAnsweredRound;
    private boolean mIsLeaving;
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

    /** Returns the time of the last reply. */
    Instant lastContact() {
        return mLastContact;
    }

    /** Returns the highest contact round that the replica has answered. */
    long answeredRound() {
        return mAnsweredRound;
    }

    /** Returns whether the replica has told that it stops soon. */
    boolean isLeaving() {
        return mIsLeaving;
    }

    void setLeaving(boolean leaving) {
        mIsLeaving = leaving;
    }

    void onReply(Instant now, long round) {
        mLastContact = now;
        mAnsweredRound = Math.max(mAnsweredRound, round);
    }

    /**
     * Returns whether entries may be sent now.
     *
     * @param maxInFlight maximum number of unanswered append messages
     * @param maxBytes size of unanswered entries, in bytes, at which no further message is sent
     */
    boolean canSend(int maxInFlight, int maxBytes) {
        if (mMode == Mode.PROBE) {
            return !mProbeSent;
        }
        return mMode == Mode.REPLICATE
                && mInFlight.size() < maxInFlight
                && mInFlightBytes < maxBytes;
    }

    /** Records that entries up to an index were sent, and their size in bytes. */
    void onSent(long lastIndex, long bytes) {
        if (mMode == Mode.PROBE) {
            mProbeSent = true;
            return;
        }
        mInFlight.add(new InFlightAppend(lastIndex, bytes));
        mInFlightBytes += bytes;
        mNextIndex = lastIndex + 1;
    }

    /** Allows the next probe, because the last one or its reply may be lost. */
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
     * Handles a rejected append: probes at an earlier index, but never before the known matching
     * prefix. A follower that skips a whole conflicting term may give a hint below the match index,
     * and so may a late reply.
     *
     * @param conflictHint the last index at which the follower asks the leader to try again
     */
    void onMismatch(long conflictHint) {
        if (mMode == Mode.SNAPSHOT) {
            return;
        }
        probeFrom(Math.max(mMatchIndex + 1, Math.min(mNextIndex, conflictHint + 1)));
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
     * Handles a reply to a snapshot chunk.
     *
     * @return whether to send the next chunk now
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
        // A lower or equal offset comes from a duplicate reply or a restarted follower. A duplicate
        // must not cause a second chunk in flight; for a restarted follower, the next heartbeat
        // sends the chunk again.
        boolean advanced = reply.nextOffset() > mSnapshotOffset;
        mSnapshotOffset = reply.nextOffset();
        return advanced;
    }
}
