package org.laurelweir.consensus;

import java.util.Map;
import java.util.TreeMap;

/**
 * The memberships that the log holds, by index. A membership is in force from the moment its entry
 * is in the log, committed or not, so a truncated log goes back to the one before.
 */
final class MembershipHistory {
    private final TreeMap<Long, Membership> mByIndex = new TreeMap<>();

    /** Forgets everything and starts from a snapshot's membership. */
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

    /** Forgets what was replaced before an index. */
    void compact(long index) {
        Long inForce = mByIndex.floorKey(index);
        if (inForce != null) {
            mByIndex.headMap(inForce, false).clear();
        }
    }

    Membership newest() {
        return mByIndex.lastEntry().getValue();
    }

    long newestIndex() {
        return mByIndex.lastKey();
    }

    /** Returns the membership in force once the entry at an index was appended. */
    Membership at(long index) {
        Map.Entry<Long, Membership> inForce = mByIndex.floorEntry(index);
        return inForce == null ? Membership.EMPTY : inForce.getValue();
    }
}
