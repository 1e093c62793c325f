package org.laurelweir.admission;

import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Attempts ordered by the time at which each has to be checked next. Finding the due attempts takes
 * time in proportion to their number; rescheduling one takes time logarithmic in the number of
 * attempts.
 */
final class DueQueue {
    private final TreeMap<DueTime, Attempt> mAttemptsByTime = new TreeMap<>();
    private final Map<Attempt, DueTime> mTimesByAttempt = new HashMap<>();
    private long mNextSequence;

    /** The time of a check. Checks of the same time keep the order in which they were scheduled. */
    private record DueTime(Instant time, long sequence) implements Comparable<DueTime> {
        @Override
        public int compareTo(DueTime other) {
            int byTime = time.compareTo(other.time);
            return byTime == 0 ? Long.compare(sequence, other.sequence) : byTime;
        }
    }

    /** Schedules the next check of an attempt, in place of an earlier schedule. */
    void schedule(Attempt attempt, Instant time) {
        remove(attempt);
        DueTime due = new DueTime(time, mNextSequence++);
        mTimesByAttempt.put(attempt, due);
        mAttemptsByTime.put(due, attempt);
    }

    void remove(Attempt attempt) {
        DueTime due = mTimesByAttempt.remove(attempt);
        if (due != null) {
            mAttemptsByTime.remove(due);
        }
    }

    /** Removes and returns the attempts whose time has come, in order. */
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
