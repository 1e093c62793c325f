package org.laurelweir.consensus;

import java.util.List;
import org.laurelweir.consensus.ReplicaMessage.AppendReply;
import org.laurelweir.consensus.ReplicaMessage.AppendRequest;
import org.laurelweir.errors.LaurelweirException;
import org.laurelweir.lib.ResultCode;

/** Makes a follower's log equal to its leader's. */
final class AppendReceiver {
    private final ReplicaState mState;
    private final Applier mApplier;

    AppendReceiver(ReplicaState state, Applier applier) {
        mState = state;
        mApplier = applier;
    }

    /** Takes an append of this term. */
    void onAppend(ReplicaId from, AppendRequest m) {
        if (!matchesLog(m)) {
            reply(from, m, false, conflictHint(m));
            return;
        }
        if (!hasRoomFor(m.entries())) {
            // The match without the entries: the leader is heard, and sends them again later.
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
     * A replica whose disk or snapshot lags would take what the others accept until its heap is
     * full. It turns entries away only while a sync or a snapshot is under way that makes room; a
     * log that is full of entries not yet committed has to take those that commit them.
     */
    private boolean hasRoomFor(List<LogEntry> entries) {
        long bytes = LogEntry.totalBytes(entries);
        if (bytes == 0) {
            return true;
        }
        boolean diskLags =
                mState.diskWrites().unsyncedBytes() > 0 && !mState.hasDiskQueueRoom(bytes);
        boolean snapshotLags =
                mApplier.isSnapshotPending()
                        && mState.log().bytes() + bytes > mState.config().logLimits().maxLogBytes();
        return !diskLags && !snapshotLags;
    }

    private void reply(ReplicaId from, AppendRequest m, boolean success, long index) {
        mState.sendAfterSync(from, new AppendReply(mState.term(), success, index, m.round()));
    }

    /** What lies before the entries held was committed, so it is the leader's too. */
    private boolean matchesLog(AppendRequest m) {
        ReplicatedLog log = mState.log();
        if (m.prevIndex() > log.lastIndex()) {
            return false;
        }
        return m.prevIndex() < log.baseIndex() || log.termAt(m.prevIndex()) == m.prevTerm();
    }

    /** Skips a whole term that conflicts, instead of one entry for each exchange. */
    private long conflictHint(AppendRequest m) {
        ReplicatedLog log = mState.log();
        if (m.prevIndex() > log.lastIndex()) {
            return log.lastIndex();
        }
        long conflicting = log.termAt(m.prevIndex());
        long i = m.prevIndex();
        while (i > mApplier.commitIndex() && log.termAt(i) == conflicting) {
            i--;
        }
        return i;
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
                    ResultCode.LOG_CORRUPT, "the leader's log differs at committed entry " + first);
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
