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
final class DueQueue {
    private final TreeMap<DueTime, Attempt> mAttemptsByTime = new TreeMap<>();
    private final Map<Attempt, DueTime> mTimesByAttempt = new HashMap<>();
    private long mNextSequence;

    /** When something is due; of the same time, what was set first comes first. */
    private record DueTime(Instant time, long sequence) implements Comparable<DueTime> {
        @Override
        public int compareTo(DueTime other) {
            int byTime = time.compareTo(other.time);
            return byTime == 0 ? Long.compare(sequence, other.sequence) : byTime;
        }
    }

    /** Sets when something is due about an attempt, in place of what was set before. */
    void schedule(Attempt attempt, Instant at) {
        remove(attempt);
        DueTime due = new DueTime(at, mNextSequence++);
        mTimesByAttempt.put(attempt, due);
        mAttemptsByTime.put(due, attempt);
    }

    void remove(Attempt attempt) {
        DueTime due = mTimesByAttempt.remove(attempt);
        if (due != null) {
            mAttemptsByTime.remove(due);
        }
    }

    /** Removes and returns the attempts about which something is due, in order. */
    List<Attempt> takeDue(Instant now) {
        List<Attempt> due = new ArrayList<>();
        while (!mAttemptsByTime.isEmpty() && !mAttemptsByTime.firstKey().time().isAfter(now)) {
            Attempt attempt = mAttemptsByTime.pollFirstEntry().getValue();
            mTimesByAttempt.remove(attempt);
            due.add(attempt);
        }
        return due;
    }
}
