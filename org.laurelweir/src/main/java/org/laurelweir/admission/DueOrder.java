package org.laurelweir.admission;

import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Attempts in the order of the times at which something is due about each. Finding those that are
 * due costs what is found, and moving one costs the logarithm of how many there are.
 */
final class DueOrder {
    private final TreeMap<Due, Attempt> mByTime = new TreeMap<>();
    private final Map<Attempt, Due> mDue = new HashMap<>();
    private long mCount;

    /** When something is due; of the same time, what was set first comes first. */
    private record Due(Instant at, long count) implements Comparable<Due> {
        @Override
        public int compareTo(Due other) {
            int byTime = at.compareTo(other.at);
            return byTime == 0 ? Long.compare(count, other.count) : byTime;
        }
    }

    /** Sets when something is due about an attempt, in place of what was set before. */
    void set(Attempt attempt, Instant at) {
        remove(attempt);
        Due due = new Due(at, mCount++);
        mDue.put(attempt, due);
        mByTime.put(due, attempt);
    }

    void remove(Attempt attempt) {
        Due due = mDue.remove(attempt);
        if (due != null) {
            mByTime.remove(due);
        }
    }

    /** Removes and returns the attempts about which something is due, in order. */
    List<Attempt> take(Instant now) {
        List<Attempt> due = new ArrayList<>();
        while (!mByTime.isEmpty() && !mByTime.firstKey().at().isAfter(now)) {
            Attempt attempt = mByTime.pollFirstEntry().getValue();
            mDue.remove(attempt);
            due.add(attempt);
        }
        return due;
    }
}
