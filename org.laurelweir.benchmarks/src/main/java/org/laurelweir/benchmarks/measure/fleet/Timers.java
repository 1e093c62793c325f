package org.laurelweir.benchmarks.measure.fleet;

import java.util.PriorityQueue;

/** Actions due in virtual time; those due at the same time run in the order they were added. */
final class Timers {
    private final PriorityQueue<Timer> mQueue = new PriorityQueue<>();
    private long mCount;

    private record Timer(long at, long order, Runnable action) implements Comparable<Timer> {
        @Override
        public int compareTo(Timer other) {
            int byTime = Long.compare(at, other.at);
            return byTime != 0 ? byTime : Long.compare(order, other.order);
        }
    }

    void add(long at, Runnable action) {
        mQueue.add(new Timer(at, mCount++, action));
    }

    /** Returns the time at which the next action is due, or Long.MAX_VALUE if there is none. */
    long nextAt() {
        return mQueue.isEmpty() ? Long.MAX_VALUE : mQueue.peek().at();
    }

    Runnable poll() {
        return mQueue.poll().action();
    }
}
