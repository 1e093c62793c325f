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

/** Sends a leader's log to the other replicas, as fast as each takes it. */
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

    /** Follows the newest membership. */
    void updateFollowers() {
        SortedSet<ReplicaId> all = mState.log().membership().all();
        all.remove(mState.self());
        mFollowers.keySet().retainAll(all);
        for (ReplicaId id : all) {
            mFollowers.computeIfAbsent(
                    id, k -> new FollowerProgress(mState.log().lastIndex() + 1, mState.now()));
        }
    }

    /** Returns what is known of another replica, or null if it is not a member. */
    FollowerProgress progress(ReplicaId id) {
        return mFollowers.get(id);
    }

    /**
     * Opens a contact round; its answers prove that this leader was not replaced before it. Those
     * who don't answer, or receive a snapshot, get the round with the next heartbeat: rounds follow
     * each other fast and would repeat to them what is large.
     *
     * @return the round's number
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

    /** Sends new entries to each replica that can take some. */
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

    /** Shows every replica that this leader is alive, and repeats what may be lost. */
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
        boolean probes = p.mode() == FollowerProgress.Mode.PROBE;
        if (probes && p.nextIndex() <= mState.log().lastIndex()) {
            sendEntries(to, p);
            return;
        }
        sendAppend(to, p, List.of());
    }

    private boolean needsSnapshot(FollowerProgress p) {
        return p.nextIndex() <= mState.log().baseIndex();
    }

    private void sendAppend(ReplicaId to, FollowerProgress p, List<LogEntry> entries) {
        long prev = p.nextIndex() - 1;
        long prevTerm = mState.log().termAt(prev);
        long commit = mApplier.commitIndex();
        mState.send(to, new AppendRequest(mState.term(), prev, prevTerm, entries, commit, mRound));
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
        p.lastContact(mState.now(), m.round());
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
        p.lastContact(mState.now(), m.round());
        if (p.onSnapshotReply(m)) {
            sendChunk(from, p);
        }
        sendEntries(from, p);
    }
}
