package org.laurelweir.runtime.loop;

import java.util.concurrent.ConcurrentLinkedQueue;
import org.jetbrains.lincheck.Lincheck;
import org.junit.jupiter.api.Test;

/** Tests that no interleaving of put and await loses a wake-up. */
class InboxWakeTest {
    private static final int INVOCATIONS = 100;
    private static final long IGNORED_NANOS = 1;

    /**
     * Parks until unparked, without a time limit. Lincheck lets LockSupport.park return spuriously,
     * as it may, and would not detect a consumer that is never unparked.
     */
    private static final class StrictParker implements Parker {
        private boolean mPermit;

        @Override
        public synchronized void park(Object blocker, long nanos) {
            try {
                while (!mPermit) {
                    wait();
                }
            } catch (InterruptedException e) {
                throw new AssertionError(e);
            }
            mPermit = false;
        }

        @Override
        public synchronized void unpark(Thread thread) {
            mPermit = true;
            notifyAll();
        }
    }

    // Two requests arrive while the consumer is about to park on an empty queue. After a lost
    // wake-up, their callers would wait for the next tick; in this test the consumer hangs.
    // Lincheck explores the interleavings. The queue is the JDK's, because Lincheck cannot follow
    // Agrona's queue into its use of Unsafe.
    @Test
    void noWakeUpIsLost() {
        Lincheck.runConcurrentTest(INVOCATIONS, InboxWakeTest::putTwiceAndTake);
    }

    private static void putTwiceAndTake() {
        Inbox<Integer> inbox = new Inbox<>(new ConcurrentLinkedQueue<>(), new StrictParker());
        Thread first = new Thread(() -> inbox.put(1));
        Thread second = new Thread(() -> inbox.put(2));
        Thread consumer = new Thread(() -> takeTwo(inbox));
        first.start();
        second.start();
        consumer.start();
        join(first);
        join(second);
        join(consumer);
    }

    private static void takeTwo(Inbox<Integer> inbox) {
        inbox.bindConsumer();
        int taken = 0;
        while (taken < 2) {
            if (inbox.poll() == null) {
                inbox.await(IGNORED_NANOS);
            } else {
                taken++;
            }
        }
    }

    private static void join(Thread thread) {
        try {
            thread.join();
        } catch (InterruptedException e) {
            throw new AssertionError(e);
        }
    }
}
