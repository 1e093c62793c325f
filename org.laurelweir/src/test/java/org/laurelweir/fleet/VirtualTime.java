package org.laurelweir.fleet;

import java.time.Instant;
import java.util.PriorityQueue;
import java.util.Random;

/**
 * Runs scheduled actions in virtual time, without waiting. The seed determines all random choices.
 */
public final class VirtualTime {
    private final Random mRandom;
    private final PriorityQueue<Scheduled> mQueue = new PriorityQueue<>();
    private long mNow;
    private long mNextSequence;

    /** Creates a virtual time that starts at 0. */
    public VirtualTime(long seed) {
        mRandom = new Random(seed);
    }

    /** Returns the source of all random choices. */
    public Random random() {
        return mRandom;
    }

    /** Returns the virtual time in milliseconds. */
    public long millis() {
        return mNow;
    }

    /** Returns the virtual time as an instant after the epoch. */
    public Instant instant() {
        return Instant.ofEpochMilli(mNow);
    }

    /**
     * Schedules an action after a delay in milliseconds. Actions of the same time run in the order
     * in which they were scheduled.
     */
    public void after(long millis, Runnable action) {
        mQueue.add(new Scheduled(mNow + millis, mNextSequence++, action));
    }

    /** Schedules an action after a random delay from {@code min} to {@code max} milliseconds. */
    public void afterRandomDelay(int min, int max, Runnable action) {
        after(min + mRandom.nextInt(max - min + 1), action);
    }

    /**
     * Schedules an action at a fixed interval in milliseconds. The first run is at a random time
     * within one interval.
     */
    public void every(int intervalMillis, Runnable action) {
        after(mRandom.nextInt(intervalMillis), () -> repeat(intervalMillis, action));
    }

    private void repeat(int intervalMillis, Runnable action) {
        action.run();
        after(intervalMillis, () -> repeat(intervalMillis, action));
    }

    /** Advances the time by a number of milliseconds and runs the actions that become due. */
    public void advance(long millis) {
        long end = mNow + millis;
        while (!mQueue.isEmpty() && mQueue.peek().time() <= end) {
            Scheduled next = mQueue.poll();
            mNow = next.time();
            next.action().run();
        }
        mNow = end;
    }

    private record Scheduled(long time, long sequence, Runnable action)
            implements Comparable<Scheduled> {
        @Override
        public int compareTo(Scheduled other) {
            int byTime = Long.compare(time, other.time);
            return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
        }
    }
}
