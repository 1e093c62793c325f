package org.laurelweir.admission;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.laurelweir.waiting.FairEntry;
import org.laurelweir.waiting.VirtualTime;

/**
 * The queue of attempts that wait until their work fits under the bound. Its count and bytes are
 * bounded.
 *
 * <p>Higher priorities go first. Within a priority, client accounts share the backend server by
 * their weights with start-time fair queueing: each request gets a start tag in virtual time, at
 * which the share of its account lets it begin, and the lowest tag goes first. An account that
 * surges only gets later tags for its own requests. Every eighth turn goes to the priority that has
 * waited longest, so that a steady flow of urgent requests does not starve the others.
 *
 * <p>If the queue is full, an attempt of the lowest priority is evicted: the newest one of the
 * account that has the most waiting work in proportion to its weight. So a surge only evicts
 * requests of its own account, and a small account finds room in a full queue.
 */
final class FairQueue {
    private static final int OLDEST_PRIORITY_INTERVAL = 8;

    private record Entry(Attempt attempt, Instant enqueueTime, double tag, long sequence)
            implements FairEntry {
        @Override
        public int priority() {
            return attempt.request().priority();
        }

        @Override
        public String account() {
            return attempt.request().account();
        }

        @Override
        public double weightedWork() {
            return weightedWorkOf(attempt);
        }
    }

    private static final Comparator<Entry> TURN_ORDER =
            Comparator.comparingInt((Entry e) -> -e.priority())
                    .thenComparingDouble(Entry::tag)
                    .thenComparingLong(Entry::sequence);

    private final List<Entry> mEntries = new ArrayList<>();
    private final VirtualTime mVirtualTime = new VirtualTime();
    private long mBytes;
    private long mNextSequence;
    private long mTurnCount;

    /**
     * Adds an attempt even if the queue exceeds its limits. Then {@link #findExcess} returns the
     * attempt to evict.
     */
    void add(Instant now, Attempt attempt) {
        String account = attempt.request().account();
        double tag = mVirtualTime.takeTag(account, weightedWorkOf(attempt));
        mEntries.add(new Entry(attempt, now, tag, mNextSequence++));
        mBytes += bodyBytes(attempt);
    }

    /** Returns the attempt whose turn it is, or null if the queue is empty. */
    Attempt peek() {
        Entry e = peekEntry();
        return e == null ? null : e.attempt();
    }

    /** Removes and returns the attempt whose turn it is. */
    Attempt take() {
        Entry e = peekEntry();
        mTurnCount++;
        mVirtualTime.onServed(e.tag());
        remove(e);
        return e.attempt();
    }

    /** Removes an attempt out of turn. Does nothing if it is not in the queue. */
    void remove(Attempt attempt) {
        for (Entry e : mEntries) {
            if (e.attempt() == attempt) {
                remove(e);
                return;
            }
        }
    }

    /** Returns the attempt to evict, or null if the queue is within its limits. */
    Attempt findExcess(SidecarSettings.QueueLimits limits) {
        if (mEntries.size() <= limits.requests() && mBytes <= limits.bytes()) {
            return null;
        }
        return FairEntry.toEvict(mEntries).attempt();
    }

    /** Returns the attempts that were added at or before a time, in the order of arrival. */
    List<Attempt> enqueuedUntil(Instant time) {
        return mEntries.stream()
                .filter(e -> !e.enqueueTime().isAfter(time))
                .map(Entry::attempt)
                .toList();
    }

    /** Returns all attempts in the order of arrival. */
    List<Attempt> attempts() {
        return mEntries.stream().map(Entry::attempt).toList();
    }

    int size() {
        return mEntries.size();
    }

    long bytes() {
        return mBytes;
    }

    private Entry peekEntry() {
        if (mEntries.isEmpty()) {
            return null;
        }
        if (mTurnCount % OLDEST_PRIORITY_INTERVAL != OLDEST_PRIORITY_INTERVAL - 1) {
            return mEntries.stream().min(TURN_ORDER).orElseThrow();
        }
        // The account shares apply within that priority too. Otherwise accounts with large requests
        // would get more than their share.
        int oldestPriority = mEntries.get(0).priority();
        return mEntries.stream()
                .filter(e -> e.priority() == oldestPriority)
                .min(TURN_ORDER)
                .orElseThrow();
    }

    private void remove(Entry entry) {
        mEntries.remove(entry);
        mBytes -= bodyBytes(entry.attempt());
    }

    private static double weightedWorkOf(Attempt attempt) {
        return FairEntry.weighted(attempt.work(), attempt.request().accountWeight());
    }

    private static long bodyBytes(Attempt attempt) {
        return attempt.request().call().body().length;
    }
}
