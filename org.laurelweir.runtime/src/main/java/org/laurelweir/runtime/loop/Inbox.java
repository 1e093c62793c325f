package org.laurelweir.runtime.loop;

import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.locks.LockSupport;
import org.agrona.concurrent.ManyToOneConcurrentArrayQueue;

/**
 * A bounded queue from many producer threads to one consumer thread, which parks while the queue is
 * empty.
 *
 * <p>Producers wait while the queue is full, which bounds the memory if events arrive faster than
 * they are processed. The consumer never waits for room, because no other thread empties the queue:
 * elements that the consumer puts go to a separate, unbounded list.
 *
 * <p>The queue assigns its slots in the order of arrival. While one thread is still inside a put,
 * {@link #poll} may not yet return an element that another thread has put after it. The queue does
 * not count as empty in that state, so the consumer does not park and takes both elements soon
 * after.
 *
 * @param <E> the type of the elements
 */
public final class Inbox<E> {
    private static final long FULL_QUEUE_PARK_NANOS = 100_000;

    private final Queue<E> mQueue;
    private final Parker mParker;
    private final ArrayDeque<E> mConsumerElements = new ArrayDeque<>();
    private volatile Thread mConsumer;
    private volatile boolean mParked;

    /**
     * Creates an empty queue.
     *
     * @param capacity maximum number of queued elements; while the queue is full, producers wait
     */
    public Inbox(int capacity) {
        this(new ManyToOneConcurrentArrayQueue<>(capacity), Parker.DEFAULT);
    }

    /**
     * Creates a queue with its own storage and parker, for tests that model thread interleavings.
     */
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
     * @param element the element
     */
    public void put(E element) {
        if (Thread.currentThread() == mConsumer) {
            mConsumerElements.add(element);
            return;
        }
        while (!mQueue.offer(element)) {
            LockSupport.parkNanos(FULL_QUEUE_PARK_NANOS);
        }
        wakeConsumer();
    }

    /**
     * Takes the oldest element that the consumer has put or, if there is none, the oldest of the
     * other threads. Only the consumer may call this.
     *
     * @return the element, or null if there is none
     */
    public E poll() {
        E own = mConsumerElements.poll();
        return own != null ? own : mQueue.poll();
    }

    /**
     * Parks the consumer until an element arrives or the time expires. May return early.
     *
     * @param nanos maximum time to wait, in nanoseconds
     */
    public void await(long nanos) {
        mParked = true;
        // Checks again after the flag is set. A producer that read false has already added its
        // element, so this check finds the element. A producer that read true unparks the consumer.
        if (mConsumerElements.isEmpty() && mQueue.isEmpty()) {
            mParker.park(this, nanos);
        }
        mParked = false;
    }

    private void wakeConsumer() {
        if (mParked) {
            mParker.unpark(mConsumer);
        }
    }
}
