package org.laurelweir.control.storage;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.laurelweir.consensus.ConsensusEffect.Persist;
import org.laurelweir.consensus.ConsensusEvent.Recovered;
import org.laurelweir.errors.LaurelweirException;
import org.laurelweir.junit.Await;
import org.laurelweir.lib.ResultCode;

/** Tests how the writer batches effects, reports progress and handles disk failures. */
class LogWriterTest {
    /** A storage whose writes wait for a latch, and which can be made to fail. */
    private static final class SlowStorage implements LogStorage {
        private final CountDownLatch mPersistCalled = new CountDownLatch(1);
        private final CountDownLatch mMayProceed = new CountDownLatch(1);
        private final List<Integer> mBatches = new ArrayList<>();
        private final List<Long> mCommitIndexes = new ArrayList<>();
        private boolean mFails;
        private int mRemainingFailures;

        @Override
        public long storageId() {
            return 1;
        }

        @Override
        public Recovered recovered() {
            return null;
        }

        @Override
        public void persist(List<Persist> effects) {
            mPersistCalled.countDown();
            await(mMayProceed);
            if (mFails) {
                throw new LaurelweirException(ResultCode.DISK_FAILED, "no space");
            }
            if (mRemainingFailures > 0) {
                mRemainingFailures--;
                throw new LaurelweirException(ResultCode.DISK_FULL, "no space");
            }
            mBatches.add(effects.size());
        }

        @Override
        public void markCommitted(long index) {
            mCommitIndexes.add(index);
        }

        @Override
        public void close() {}
    }

    private static void await(CountDownLatch latch) {
        try {
            assertThat(latch.await(60, TimeUnit.SECONDS)).isTrue();
        } catch (InterruptedException e) {
            throw new AssertionError(e);
        }
    }

    private static Persist effect(long sequence) {
        return new Persist(sequence, null, null, false, List.of());
    }

    @Test
    void effectsQueuedDuringASyncShareTheNextSync() {
        SlowStorage storage = new SlowStorage();
        List<Long> persisted = new ArrayList<>();
        LogWriter writer = new LogWriter(storage, persisted::add, e -> {});
        writer.start();
        writer.persist(effect(1));
        await(storage.mPersistCalled);
        for (long sequence = 2; sequence <= 5; sequence++) {
            writer.persist(effect(sequence));
        }
        storage.mMayProceed.countDown();
        writer.stop();
        assertThat(storage.mBatches).containsExactly(1, 4);
        assertThat(persisted).containsExactly(1L, 5L);
    }

    @Test
    void writesOnlyTheLastCommitIndexAfterPendingEffects() {
        SlowStorage storage = new SlowStorage();
        LogWriter writer = new LogWriter(storage, sequence -> {}, e -> {});
        writer.start();
        writer.persist(effect(1));
        await(storage.mPersistCalled);
        writer.markCommitted(3);
        writer.markCommitted(4);
        writer.persist(effect(2));
        storage.mMayProceed.countDown();
        writer.stop();
        assertThat(storage.mBatches).containsExactly(1, 1);
        assertThat(storage.mCommitIndexes).containsExactly(4L);
    }

    // Guards against effects that are reported as persisted after the disk has failed: one write
    // fails while another one is pending. The writer's thread must end and report the failure.
    @Test
    void stopsAtTheFirstDiskFailure() throws Exception {
        SlowStorage storage = new SlowStorage();
        storage.mFails = true;
        LinkedBlockingQueue<Long> persisted = new LinkedBlockingQueue<>();
        CompletableFuture<Throwable> failed = new CompletableFuture<>();
        LogWriter writer = new LogWriter(storage, persisted::add, failed::complete);
        writer.start();
        writer.persist(effect(1));
        await(storage.mPersistCalled);
        writer.persist(effect(2));
        storage.mMayProceed.countDown();
        assertThat(failed.get(60, TimeUnit.SECONDS))
                .isInstanceOfSatisfying(
                        LaurelweirException.class,
                        e -> assertThat(e.getCode()).isEqualTo(ResultCode.DISK_FAILED));
        writer.stop();
        assertThat(persisted).isEmpty();
    }

    // Guards against a control instance that ends because its disk is full for a moment, although
    // the router on the same instance is serving.
    @Test
    void retriesWhileDiskIsFull() {
        SlowStorage storage = new SlowStorage();
        storage.mRemainingFailures = 3;
        LinkedBlockingQueue<Long> persisted = new LinkedBlockingQueue<>();
        CompletableFuture<Throwable> failed = new CompletableFuture<>();
        LogWriter writer = new LogWriter(storage, persisted::add, failed::complete);
        writer.start();
        storage.mMayProceed.countDown();
        writer.persist(effect(1));
        Await.until("the effect is persisted", () -> !persisted.isEmpty());
        writer.persist(effect(2));
        writer.stop();
        assertThat(failed).isNotDone();
        assertThat(persisted).containsExactly(1L, 2L);
        assertThat(storage.mBatches).containsExactly(1, 1);
    }

    // Guards against a gap in the log: while the disk rejects one effect and the writer is stopped,
    // later effects must not be persisted.
    @Test
    void skipsLaterEffectsWhenStoppedWhileDiskIsFull() {
        SlowStorage storage = new SlowStorage();
        storage.mRemainingFailures = Integer.MAX_VALUE;
        LinkedBlockingQueue<Long> persisted = new LinkedBlockingQueue<>();
        LogWriter writer = new LogWriter(storage, persisted::add, e -> {});
        writer.start();
        writer.persist(effect(1));
        await(storage.mPersistCalled);
        writer.persist(effect(2));
        storage.mMayProceed.countDown();
        writer.stop();
        assertThat(persisted).isEmpty();
        assertThat(storage.mBatches).isEmpty();
    }
}
