package org.laurelweir.consensus;

import java.util.ArrayList;
import java.util.List;

/**
 * The part of the log that is kept in memory, and the snapshot that stands for the rest. Entries
 * reach back some way before the snapshot, so that a follower slightly behind needs no snapshot.
 */
final class ReplicatedLog {
    /** What {@link #termAt} gives for an index that is not held. */
    static final long UNKNOWN_TERM = -1;

    private final ArrayList<LogEntry> mEntries = new ArrayList<>();
    private final MembershipHistory mMemberships = new MembershipHistory();
    private Snapshot mSnapshot;
    private long mBaseIndex;
    private long mBaseTerm;
    private long mBytes;

    ReplicatedLog() {
        reset(Snapshot.NONE);
    }

    /** Forgets all entries; the log continues after a snapshot. */
    void reset(Snapshot snapshot) {
        mEntries.clear();
        mBytes = 0;
        mSnapshot = snapshot;
        mBaseIndex = snapshot.index();
        mBaseTerm = snapshot.term();
        mMemberships.reset(snapshot.index(), snapshot.membership());
    }

    /**
     * Keeps a snapshot of a part of this log, and only some entries before its end.
     *
     * @param tail most entries to keep
     * @param tailBytes most bytes to keep
     */
    void compact(Snapshot snapshot, int tail, int tailBytes) {
        mSnapshot = snapshot;
        mMemberships.compact(snapshot.index());
        long newBase = tailStart(snapshot.index(), tail, tailBytes);
        long newBaseTerm = termAt(newBase);
        mBytes -= bytesBetween(mBaseIndex, newBase);
        mEntries.subList(0, (int) (newBase - mBaseIndex)).clear();
        mBaseIndex = newBase;
        mBaseTerm = newBaseTerm;
    }

    private long tailStart(long end, int tail, int tailBytes) {
        long start = end;
        long bytes = 0;
        while (start > mBaseIndex && end - start < tail) {
            bytes += entry(start).bytes();
            if (bytes > tailBytes) {
                break;
            }
            start--;
        }
        return start;
    }

    /** Returns the bytes of the entries after one index and up to another, all of them held. */
    long bytesBetween(long after, long upTo) {
        long bytes = 0;
        for (long i = after + 1; i <= upTo; i++) {
            bytes += entry(i).bytes();
        }
        return bytes;
    }

    /** Returns the bytes of all entries held. */
    long bytes() {
        return mBytes;
    }

    /** Adds the next entry. */
    void append(LogEntry entry) {
        mEntries.add(entry);
        mBytes += entry.bytes();
        if (entry.kind() == LogEntry.Kind.MEMBERSHIP) {
            mMemberships.add(entry.index(), Membership.decode(entry.payload()));
        }
    }

    /** Removes an entry and all after it. */
    void truncateFrom(long index) {
        mBytes -= bytesBetween(index - 1, lastIndex());
        mEntries.subList((int) (index - mBaseIndex - 1), mEntries.size()).clear();
        mMemberships.truncateFrom(index);
    }

    /** Returns the last index before the entries held. */
    long baseIndex() {
        return mBaseIndex;
    }

    long lastIndex() {
        return mBaseIndex + mEntries.size();
    }

    long lastTerm() {
        return termAt(lastIndex());
    }

    /** Returns the term of an entry, or {@link #UNKNOWN_TERM}. */
    long termAt(long index) {
        if (index == mBaseIndex) {
            return mBaseTerm;
        }
        if (index < mBaseIndex || index > lastIndex()) {
            return UNKNOWN_TERM;
        }
        return entry(index).term();
    }

    LogEntry entry(long index) {
        return mEntries.get((int) (index - mBaseIndex - 1));
    }

    /** Returns entries from an index on: at least one if there is any, else up to a size. */
    List<LogEntry> slice(long from, int maxBytes) {
        List<LogEntry> slice = new ArrayList<>();
        long bytes = 0;
        for (long i = from; i <= lastIndex(); i++) {
            LogEntry e = entry(i);
            bytes += e.bytes();
            if (!slice.isEmpty() && bytes > maxBytes) {
                break;
            }
            slice.add(e);
        }
        return slice;
    }

    /** Returns whether a log with this end may lead those who hold this one. */
    boolean isUpToDate(long otherLastIndex, long otherLastTerm) {
        if (otherLastTerm != lastTerm()) {
            return otherLastTerm > lastTerm();
        }
        return otherLastIndex >= lastIndex();
    }

    Snapshot snapshot() {
        return mSnapshot;
    }

    Membership membership() {
        return mMemberships.newest();
    }

    /** Returns the index of the entry that brought the newest membership. */
    long membershipIndex() {
        return mMemberships.newestIndex();
    }

    Membership membershipAt(long index) {
        return mMemberships.at(index);
    }
}
