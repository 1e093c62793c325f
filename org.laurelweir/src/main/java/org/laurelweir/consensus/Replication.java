package org.laurelweir.consensus;

import java.util.Arrays;
import java.util.List;
import java.util.SortedMap;
import java.util.SortedSet;
import java.util.TreeMap;
import org.laurelweir.consensus.ReplicaMessage.AppendReply;
import org.laurelweir.consensus.ReplicaMessage.AppendRequest;
import org.laurelweir.consensus.ReplicaMessage.SnapshotChunk;
import org.laurelweir.consensus.ReplicaMessage.SnapshotReply;

/** Sends a leader's log to the other replicas, with flow control for each of them. */
final class Replication {
    private final ReplicaState mState;
    private final Applier mApplier;
    private final SortedMap<ReplicaId, FollowerProgress> mFollowers = new TreeMap<>();
    private long mRound;

    Replication(ReplicaState state, Applier applier) {
        mState = state;
        mApplier = applier;
        updateFollowers();
    }

    /** Adds and removes followers according to the newest membership. */
    void updateFollowers() {
        SortedSet<ReplicaId> all = mState.log().membership().all();
        all.remove(mState.self());
        mFollowers.keySet().retainAll(all);
        for (ReplicaId id : all) {
            mFollowers.computeIfAbsent(
                    id, k -> new FollowerProgress(mState.log().lastIndex() + 1, mState.now()));
        }
    }

    /** Returns the progress of another replica, or null if it is not a member. */
    FollowerProgress progress(ReplicaId id) {
        return mFollowers.get(id);
    }

    /**
     * Starts a contact round: sends an empty append with the number of the round to the followers,
     * whose replies echo the number. A quorum of answers proves that this leader was not replaced
     * before the round started. Replicas in probe or snapshot mode get the round with the next
     * heartbeat: rounds follow each other quickly, and each would send them the same large message
     * again.
     *
     * @return the number of the round
     */
    long startRound() {
        mRound++;
        mFollowers.forEach(
                (id, p) -> {
                    if (p.mode() == FollowerProgress.Mode.REPLICATE && !needsSnapshot(p)) {
                        sendAppend(id, p, List.of());
                    }
                });
        return mRound;
    }

    /** Sends new entries to each replica whose flow control allows it. */
    void sendEntries() {
        mFollowers.forEach(this::sendEntries);
    }

    private void sendEntries(ReplicaId to, FollowerProgress p) {
        ReplicatedLog log = mState.log();
        while (p.nextIndex() <= log.lastIndex() && canSend(p)) {
            if (needsSnapshot(p)) {
                p.startSnapshot(log.snapshot());
                sendChunk(to, p);
                return;
            }
            List<LogEntry> entries = log.slice(p.nextIndex(), mState.config().maxBatchBytes());
            sendAppend(to, p, entries);
            p.onSent(entries.get(entries.size() - 1).index(), LogEntry.totalBytes(entries));
        }
    }

    private boolean canSend(FollowerProgress p) {
        ConsensusConfig config = mState.config();
        return p.canSend(config.maxInFlightAppends(), config.logLimits().maxInFlightBytes());
    }

    /** Sends a heartbeat to every replica and repeats messages that may be lost. */
    void sendHeartbeats() {
        mFollowers.forEach(this::sendHeartbeat);
    }

    private void sendHeartbeat(ReplicaId to, FollowerProgress p) {
        if (p.mode() != FollowerProgress.Mode.SNAPSHOT && needsSnapshot(p)) {
            p.startSnapshot(mState.log().snapshot());
        }
        if (p.mode() == FollowerProgress.Mode.SNAPSHOT) {
            sendChunk(to, p);
            return;
        }
        p.allowProbe();
        boolean isProbing = p.mode() == FollowerProgress.Mode.PROBE;
        if (isProbing && p.nextIndex() <= mState.log().lastIndex()) {
            sendEntries(to, p);
            return;
        }
        sendAppend(to, p, List.of());
    }

    private boolean needsSnapshot(FollowerProgress p) {
        return p.nextIndex() <= mState.log().baseIndex();
    }

    private void sendAppend(ReplicaId to, FollowerProgress p, List<LogEntry> entries) {
        long prevIndex = p.nextIndex() - 1;
        long prevTerm = mState.log().termAt(prevIndex);
        long commitIndex = mApplier.commitIndex();
        mState.send(
                to,
                new AppendRequest(
                        mState.term(), prevIndex, prevTerm, entries, commitIndex, mRound));
    }

    private void sendChunk(ReplicaId to, FollowerProgress p) {
        Snapshot s = p.snapshot();
        int from = p.snapshotOffset();
        int end = Math.min(s.state().length, from + mState.config().snapshotChunkBytes());
        byte[] data = Arrays.copyOfRange(s.state(), from, end);
        mState.send(
                to,
                new SnapshotChunk(
                        mState.term(),
                        s.index(),
                        s.term(),
                        s.membership(),
                        from,
                        s.state().length,
                        data,
                        mRound));
    }

    void onAppendReply(ReplicaId from, AppendReply m) {
        FollowerProgress p = mFollowers.get(from);
        if (p == null) {
            return;
        }
        p.onReply(mState.now(), m.round());
        p.setLeaving(m.leaving());
        if (m.success()) {
            p.onMatch(m.matchIndex());
        } else {
            p.onMismatch(m.matchIndex());
        }
        sendEntries(from, p);
    }

    void onSnapshotReply(ReplicaId from, SnapshotReply m) {
        FollowerProgress p = mFollowers.get(from);
        if (p == null) {
            return;
        }
        p.onReply(mState.now(), m.round());
        if (p.onSnapshotReply(m)) {
            sendChunk(from, p);
        }
        sendEntries(from, p);
    }
}
