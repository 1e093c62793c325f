package org.laurelweir.runtime.loop;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.jetbrains.lincheck.datastructures.ModelCheckingOptions;
import org.jetbrains.lincheck.datastructures.Operation;
import org.junit.jupiter.api.Test;

/** Tests that the inbox between network threads and a reducer neither loses nor reorders events. */
public class InboxTest {
    // More than a Lincheck scenario puts, because a put on a full queue waits by design.
    private static final int CAPACITY = 64;
    private static final long LONG_WAIT_NANOS = TimeUnit.SECONDS.toNanos(60);

    private final Inbox<Integer> mInbox = new Inbox<>(CAPACITY);

    /** Creates an inbox; Lincheck calls this for each scenario. */
    public InboxTest() {}

    /** Adds an element from any thread. */
    @Operation
    public void put(int element) {
        mInbox.put(element);
    }

    /** Takes an element on the consumer's thread. */
    @Operation(nonParallelGroup = "consumer")
    public Integer poll() {
        return mInbox.poll();
    }

    // Lincheck cannot transform org.agrona.UnsafeApi and reports a VerifyError. It therefore does
    // not suspend a put between claiming a slot in Agrona's queue and filling it; see Inbox.
    @Test
    void isLinearizable() {
        new ModelCheckingOptions()
                .iterations(10)
                .invocationsPerIteration(200)
                .threads(3)
                .actorsPerThread(2)
                .check(InboxTest.class);
    }

    @Test
    void consumerPutsWithoutWaitingForRoom() {
        mInbox.bindConsumer();
        for (int i = 0; i < CAPACITY * 2; i++) {
            mInbox.put(i);
        }
        for (int i = 0; i < CAPACITY * 2; i++) {
            assertThat(mInbox.poll()).isEqualTo(i);
        }
    }

    // Guards against a lost wake-up: a request arrives while the consumer is between its check of
    // the empty queue and parking. The caller would then wait for the next tick.
    @Test
    void putWakesParkedConsumer() throws InterruptedException {
        CountDownLatch taken = new CountDownLatch(1);
        Thread consumer =
                new Thread(
                        () -> {
                            mInbox.bindConsumer();
                            while (mInbox.poll() == null) {
                                mInbox.await(LONG_WAIT_NANOS);
                            }
                            taken.countDown();
                        });
        consumer.start();
        mInbox.put(1);
        assertThat(taken.await(LONG_WAIT_NANOS / 2, TimeUnit.NANOSECONDS)).isTrue();
        consumer.join();
    }
}
