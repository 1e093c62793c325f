package org.laurelweir.consensus;

import java.util.Map;
import java.util.TreeMap;

/**
 * The memberships in the log, by index. A membership is effective as soon as its entry is in the
 * log, whether committed or not. Truncating the log restores the previous one.
 */
final class MembershipHistory {
    private final TreeMap<Long, Membership> mByIndex = new TreeMap<>();

    /** Replaces the history with a snapshot's membership. */
    void reset(long index, Membership membership) {
        mByIndex.clear();
        mByIndex.put(index, membership);
    }

    void add(long index, Membership membership) {
        mByIndex.put(index, membership);
    }

    void truncateFrom(long index) {
        mByIndex.tailMap(index, true).clear();
    }

    /** Removes the memberships that were replaced before an index. */
    void compact(long index) {
        Long effectiveIndex = mByIndex.floorKey(index);
        if (effectiveIndex != null) {
            mByIndex.headMap(effectiveIndex, false).clear();
        }
    }

    Membership newest() {
        return mByIndex.lastEntry().getValue();
    }

    long newestIndex() {
        return mByIndex.lastKey();
    }

    /** Returns the membership that is effective after the entry at an index. */
    Membership at(long index) {
        Map.Entry<Long, Membership> effective = mByIndex.floorEntry(index);
        return effective == null ? Membership.EMPTY : effective.getValue();
    }
}
