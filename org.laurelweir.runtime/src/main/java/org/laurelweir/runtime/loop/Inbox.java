package org.laurelweir.runtime.loop;

import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.locks.LockSupport;
import org.agrona.concurrent.ManyToOneConcurrentArrayQueue;

/**
 * Bounded queue from many threads to one, which parks while it is empty.
 *
 * <p>A full queue makes producers wait, so that what arrives faster than it is decided takes no
 * unbounded memory. The consumer itself never waits for room: what it puts goes to a list of its
 * own, since nobody else could empty the queue for it.
 *
 * @param <E> the elements
 */
public final class Inbox<E> {
    private static final long FULL_PARK_NANOS = 100_000;

    private final Queue<E> mQueue;
    private final Parker mParker;
    private final ArrayDeque<E> mOwn = new ArrayDeque<>();
    private volatile Thread mConsumer;
    private volatile boolean mParked;

    /**
     * Creates an empty queue.
     *
     * @param capacity most elements that wait before producers do
     */
    public Inbox(int capacity) {
        this(new ManyToOneConcurrentArrayQueue<>(capacity), Parker.DEFAULT);
    }

    /** For tests that model the threads' steps. */
    Inbox(Queue<E> queue, Parker parker) {
        mQueue = queue;
        mParker = parker;
    }

    /** Makes the calling thread the consumer. */
    public void bindConsumer() {
        mConsumer = Thread.currentThread();
    }

    /**
     * Adds an element and wakes the consumer.
     *
     * @param element what to add
     */
    public void put(E element) {
        if (Thread.currentThread() == mConsumer) {
            mOwn.add(element);
            return;
        }
        while (!mQueue.offer(element)) {
            LockSupport.parkNanos(FULL_PARK_NANOS);
        }
        wake();
    }

    /**
     * Takes the oldest element; only for the consumer.
     *
     * @return the element, or null where there is none
     */
    public E poll() {
        E own = mOwn.poll();
        return own != null ? own : mQueue.poll();
    }

    /**
     * Parks the consumer until an element is there or the time is over; it may return early.
     *
     * @param nanos longest time to wait
     */
    public void await(long nanos) {
        mParked = true;
        // Looked at again after the flag is up: a producer that saw the flag down has added its
        // element before, so it is seen here; one that saw it up unparks.
        if (mOwn.isEmpty() && mQueue.isEmpty()) {
            mParker.park(this, nanos);
        }
        mParked = false;
    }

    private void wake() {
        if (mParked) {
            mParker.unpark(mConsumer);
        }
    }
}
