package org.laurelweir.runtime.loop;

import java.util.concurrent.ConcurrentLinkedQueue;
import org.jetbrains.lincheck.Lincheck;
import org.junit.jupiter.api.Test;

/** No order of the steps of putting and of waiting loses a wake-up. */
class InboxWakeTest {
    private static final int INVOCATIONS = 100;
    private static final long ANY_TIME = 1;

    /**
     * Sleeps until woken, without time limit. Lincheck lets the platform's parking end without
     * cause, as it may, and so would never see a consumer that sleeps on.
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

    // Two requests arrive while the reducer's thread is about to sleep on an empty queue. Were a
    // wake-up lost, their callers would wait for the next tick; here the consumer hangs.
    // Lincheck tries orders of the steps; the queue is the JDK's, since Lincheck can't follow
    // Agrona's into its use of Unsafe.
    @Test
    void consumerTakesWhateverIsPut() {
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
                inbox.await(ANY_TIME);
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
