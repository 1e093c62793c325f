package org.laurelweir.consensus;

import java.util.List;
import org.laurelweir.consensus.ReplicaMessage.AppendReply;
import org.laurelweir.consensus.ReplicaMessage.AppendRequest;
import org.laurelweir.errors.LaurelweirException;
import org.laurelweir.lib.ResultCode;

/** Handles append requests: makes a follower's log equal to its leader's log. */
final class AppendReceiver {
    private final ReplicaState mState;
    private final Applier mApplier;

    AppendReceiver(ReplicaState state, Applier applier) {
        mState = state;
        mApplier = applier;
    }

    /** Handles an append request of the current term and replies to it. */
    void onAppend(ReplicaId from, AppendRequest m) {
        if (!matchesLog(m)) {
            reply(from, m, false, conflictHint(m));
            return;
        }
        if (!hasRoomFor(m.entries())) {
            // Acknowledges the matching prefix without the new entries. The leader sends them again
            // later.
            mApplier.commitTo(Math.min(m.commitIndex(), m.prevIndex()));
            reply(from, m, true, m.prevIndex());
            return;
        }
        appendMissing(m.entries());
        long matchIndex = m.prevIndex() + m.entries().size();
        mApplier.commitTo(Math.min(m.commitIndex(), matchIndex));
        reply(from, m, true, matchIndex);
    }

    /**
     * Returns whether the replica accepts these entries. A replica whose disk or snapshot is slow
     * could otherwise fill its heap with entries that the other replicas accept. It rejects entries
     * only while a pending sync or snapshot is going to free space. A log that is full of
     * uncommitted entries has to accept further ones, since those commit the earlier ones.
     */
    private boolean hasRoomFor(List<LogEntry> entries) {
        long bytes = LogEntry.totalBytes(entries);
        if (bytes == 0) {
            return true;
        }
        boolean isDiskFull =
                mState.diskWrites().unsyncedBytes() > 0 && !mState.hasDiskQueueRoom(bytes);
        boolean isLogFull =
                mApplier.isSnapshotPending()
                        && mState.log().bytes() + bytes > mState.config().logLimits().maxLogBytes();
        return !isDiskFull && !isLogFull;
    }

    private void reply(ReplicaId from, AppendRequest m, boolean success, long index) {
        mState.sendAfterSync(
                from,
                new AppendReply(mState.term(), success, index, m.round(), mState.isLeaving()));
    }

    /**
     * Returns whether the log contains the entry that precedes the request's entries. Entries
     * before the base index are committed, so the leader's log contains them too.
     */
    private boolean matchesLog(AppendRequest m) {
        ReplicatedLog log = mState.log();
        if (m.prevIndex() > log.lastIndex()) {
            return false;
        }
        return m.prevIndex() < log.baseIndex() || log.termAt(m.prevIndex()) == m.prevTerm();
    }

    /**
     * Returns the last index at which the leader should try again. The result skips all uncommitted
     * entries of the conflicting term; otherwise the leader would need one round trip per entry.
     */
    private long conflictHint(AppendRequest m) {
        ReplicatedLog log = mState.log();
        if (m.prevIndex() > log.lastIndex()) {
            return log.lastIndex();
        }
        long conflictingTerm = log.termAt(m.prevIndex());
        long index = m.prevIndex();
        while (index > mApplier.commitIndex() && log.termAt(index) == conflictingTerm) {
            index--;
        }
        return index;
    }

    private void appendMissing(List<LogEntry> entries) {
        ReplicatedLog log = mState.log();
        int i = 0;
        while (i < entries.size() && isInLog(entries.get(i))) {
            i++;
        }
        if (i == entries.size()) {
            return;
        }
        List<LogEntry> missing = entries.subList(i, entries.size());
        long first = missing.get(0).index();
        if (first <= mApplier.commitIndex()) {
            throw new LaurelweirException(
                    ResultCode.LOG_CORRUPT,
                    "the leader's log conflicts with this log at committed entry " + first);
        }
        if (first <= log.lastIndex()) {
            log.truncateFrom(first);
        }
        mState.append(missing);
    }

    private boolean isInLog(LogEntry e) {
        ReplicatedLog log = mState.log();
        return e.index() <= log.baseIndex() || log.termAt(e.index()) == e.term();
    }
}
