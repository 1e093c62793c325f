package org.laurelweir.fleet;

import java.time.Instant;
import java.util.PriorityQueue;
import java.util.Random;

/** Runs actions at their time, in an order that one seed decides, without waiting. */
public final class VirtualTime {
    private final Random mRandom;
    private final PriorityQueue<Scheduled> mQueue = new PriorityQueue<>();
    private long mNow;
    private long mScheduled;

    public VirtualTime(long seed) {
        mRandom = new Random(seed);
    }

    /** Returns the source of all that is left to chance. */
    public Random random() {
        return mRandom;
    }

    public long millis() {
        return mNow;
    }

    public Instant instant() {
        return Instant.ofEpochMilli(mNow);
    }

    public void after(long millis, Runnable action) {
        mQueue.add(new Scheduled(mNow + millis, mScheduled++, action));
    }

    /** Runs an action after a time from {@code least} to {@code most} milliseconds. */
    public void afterRandomDelay(int least, int most, Runnable action) {
        after(least + mRandom.nextInt(most - least + 1), action);
    }

    /** Runs an action again and again, the first time within one interval. */
    public void every(int millis, Runnable action) {
        after(mRandom.nextInt(millis), () -> repeat(millis, action));
    }

    private void repeat(int millis, Runnable action) {
        action.run();
        after(millis, () -> repeat(millis, action));
    }

    /** Lets time pass. */
    public void advance(long millis) {
        long end = mNow + millis;
        while (!mQueue.isEmpty() && mQueue.peek().at() <= end) {
            Scheduled s = mQueue.poll();
            mNow = s.at();
            s.action().run();
        }
        mNow = end;
    }

    private record Scheduled(long at, long order, Runnable action)
            implements Comparable<Scheduled> {
        @Override
        public int compareTo(Scheduled other) {
            int byTime = Long.compare(at, other.at);
            return byTime != 0 ? byTime : Long.compare(order, other.order);
        }
    }
}
