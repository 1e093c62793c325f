package org.laurelweir.consensus;

import java.util.ArrayList;
import java.util.List;

/**
 * The log entries in memory and the newest snapshot, which replaces the earlier entries. Some
 * entries that the snapshot covers are kept, so that a follower that lags slightly needs no
 * snapshot.
 */
final class ReplicatedLog {
    /** The result of {@link #termAt} for an index whose entry is not in memory. */
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

    /** Removes all entries. The log continues after a snapshot. */
    void reset(Snapshot snapshot) {
        mEntries.clear();
        mBytes = 0;
        mSnapshot = snapshot;
        mBaseIndex = snapshot.index();
        mBaseTerm = snapshot.term();
        mMemberships.reset(snapshot.index(), snapshot.membership());
    }

    /**
     * Stores a snapshot and removes the entries that it covers, except for a tail.
     *
     * @param tailEntries maximum number of covered entries to keep
     * @param tailBytes maximum size of covered entries to keep
     */
    void compact(Snapshot snapshot, int tailEntries, int tailBytes) {
        mSnapshot = snapshot;
        mMemberships.compact(snapshot.index());
        long newBase = tailStart(snapshot.index(), tailEntries, tailBytes);
        long newBaseTerm = termAt(newBase);
        mBytes -= bytesBetween(mBaseIndex, newBase);
        mEntries.subList(0, (int) (newBase - mBaseIndex)).clear();
        mBaseIndex = newBase;
        mBaseTerm = newBaseTerm;
    }

    private long tailStart(long end, int tailEntries, int tailBytes) {
        long start = end;
        long bytes = 0;
        while (start > mBaseIndex && end - start < tailEntries) {
            bytes += entry(start).bytes();
            if (bytes > tailBytes) {
                break;
            }
            start--;
        }
        return start;
    }

    /**
     * Returns the size in bytes of the entries after one index and up to another. All of them have
     * to be in memory.
     */
    long bytesBetween(long after, long upTo) {
        long bytes = 0;
        for (long i = after + 1; i <= upTo; i++) {
            bytes += entry(i).bytes();
        }
        return bytes;
    }

    /** Returns the size in bytes of all entries in memory. */
    long bytes() {
        return mBytes;
    }

    /** Appends the next entry. */
    void append(LogEntry entry) {
        mEntries.add(entry);
        mBytes += entry.bytes();
        if (entry.kind() == LogEntry.Kind.MEMBERSHIP) {
            mMemberships.add(entry.index(), Membership.decode(entry.payload()));
        }
    }

    /** Removes the entry at an index and all later entries. */
    void truncateFrom(long index) {
        mBytes -= bytesBetween(index - 1, lastIndex());
        mEntries.subList((int) (index - mBaseIndex - 1), mEntries.size()).clear();
        mMemberships.truncateFrom(index);
    }

    /** Returns the last index before the entries in memory. */
    long baseIndex() {
        return mBaseIndex;
    }

    long lastIndex() {
        return mBaseIndex + mEntries.size();
    }

    long lastTerm() {
        return termAt(lastIndex());
    }

    /**
     * Returns the term of the entry at an index, or {@link #UNKNOWN_TERM} if it is not in memory.
     */
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

    /**
     * Returns consecutive entries from an index on, up to a size. The first entry is included even
     * if it is larger.
     */
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

    /**
     * Returns whether a log with this last entry is at least as up-to-date as this one, so that its
     * replica may become leader.
     */
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

    /** Returns the index of the entry that holds the newest membership. */
    long membershipIndex() {
        return mMemberships.newestIndex();
    }

    Membership membershipAt(long index) {
        return mMemberships.at(index);
    }
}
