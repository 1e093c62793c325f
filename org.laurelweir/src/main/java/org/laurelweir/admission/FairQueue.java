package org.laurelweir.admission;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Attempts that wait for room, bounded in count and bytes.
 *
 * <p>A higher priority goes first. Within a priority, client accounts share the backend server by
 * their weights: start-time fair queueing, where each request gets a tag in virtual time at which
 * the account's share would have it begin, and the least tag goes first. An account that surges
 * only pushes its own tags into the future. Every eighth turn goes to the priority that has waited
 * longest, so that a steady flow of urgent requests starves nobody.
 *
 * <p>When the queue is full, room is made within the least priority at the cost of the account that
 * has the most work waiting for its weight, its newest request first. So a surge is refused its own
 * excess, and a small account finds room in a full queue.
 */
final class FairQueue {
    private static final int OLDEST_PRIORITY_INTERVAL = 8;
    private static final int MAX_ACCOUNT_TAGS = 1024;

    private record Entry(Attempt attempt, Instant enqueueTime, double tag, long sequence) {
        int priority() {
            return attempt.request().priority();
        }

        String account() {
            return attempt.request().account();
        }

        /** Returns the work for the account's weight. */
        double weightedWork() {
            return weightedWorkOf(attempt);
        }
    }

    private static final Comparator<Entry> TURN_ORDER =
            Comparator.comparingInt((Entry e) -> -e.priority())
                    .thenComparingDouble(Entry::tag)
                    .thenComparingLong(Entry::sequence);

    private final List<Entry> mEntries = new ArrayList<>();
    private final Map<String, Double> mNextTags = new HashMap<>();
    private double mVirtualTime;
    private long mBytes;
    private long mNextSequence;
    private long mTurnCount;

    /** Adds an attempt, even over the bounds; {@link #findExcess} tells what has to go. */
    void add(Instant now, Attempt attempt) {
        String account = attempt.request().account();
        double tag = Math.max(mVirtualTime, mNextTags.getOrDefault(account, 0.0));
        mNextTags.put(account, tag + weightedWorkOf(attempt));
        mEntries.add(new Entry(attempt, now, tag, mNextSequence++));
        mBytes += bodyBytes(attempt);
    }

    /** Returns the attempt whose turn it is, or null where none waits. */
    Attempt peek() {
        Entry e = peekEntry();
        return e == null ? null : e.attempt();
    }

    /** Takes the attempt whose turn it is out. */
    Attempt take() {
        Entry e = peekEntry();
        mTurnCount++;
        mVirtualTime = Math.max(mVirtualTime, e.tag());
        remove(e);
        if (mNextTags.size() > MAX_ACCOUNT_TAGS) {
            mNextTags.values().removeIf(t -> t <= mVirtualTime);
        }
        return e.attempt();
    }

    /** Takes an attempt out whose turn it isn't; nothing happens where it doesn't wait here. */
    void remove(Attempt attempt) {
        for (Entry e : mEntries) {
            if (e.attempt() == attempt) {
                remove(e);
                return;
            }
        }
    }

    /** Returns the attempt that has to go for the queue to come within bounds, or null. */
    Attempt findExcess(SidecarSettings.QueueLimits limits) {
        if (mEntries.size() <= limits.requests() && mBytes <= limits.bytes()) {
            return null;
        }
        int least = mEntries.stream().mapToInt(Entry::priority).min().orElseThrow();
        Map<String, Double> shares = new HashMap<>();
        for (Entry e : mEntries) {
            if (e.priority() == least) {
                shares.merge(e.account(), e.weightedWork(), Double::sum);
            }
        }
        return mEntries.stream()
                .filter(e -> e.priority() == least)
                .max(
                        Comparator.comparingDouble((Entry e) -> shares.get(e.account()))
                                .thenComparingLong(Entry::sequence))
                .orElseThrow()
                .attempt();
    }

    /** Returns the attempts that have waited since a time or longer, in the order of arrival. */
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
        // By the shares within that priority, or accounts with large requests would gain.
        int oldest = mEntries.get(0).priority();
        return mEntries.stream().filter(e -> e.priority() == oldest).min(TURN_ORDER).orElseThrow();
    }

    private void remove(Entry entry) {
        mEntries.remove(entry);
        mBytes -= bodyBytes(entry.attempt());
    }

    private static double weightedWorkOf(Attempt attempt) {
        double weight = attempt.request().accountWeight();
        return attempt.work() / (weight > 0 ? weight : 1);
    }

    private static long bodyBytes(Attempt attempt) {
        return attempt.request().call().body().length;
    }
}
