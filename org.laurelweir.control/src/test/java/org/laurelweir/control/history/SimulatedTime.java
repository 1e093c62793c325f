package org.laurelweir.control.history;

import java.util.PriorityQueue;

/** Runs scheduled actions in virtual time. Actions of the same time run in the order scheduled. */
final class SimulatedTime {
    private final PriorityQueue<Scheduled> mQueue = new PriorityQueue<>();
    private long mNow;
    private long mScheduled;

    /** Returns the virtual time in milliseconds. */
    long now() {
        return mNow;
    }

    void after(long millis, Runnable action) {
        mQueue.add(new Scheduled(mNow + millis, mScheduled++, action));
    }

    /** Advances the time by some milliseconds and runs the actions that are due. */
    void run(long millis) {
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
