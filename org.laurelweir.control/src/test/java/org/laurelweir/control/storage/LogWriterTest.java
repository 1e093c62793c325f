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

/** How the writer's thread batches, reports and fails. */
class LogWriterTest {
    /** A storage whose first write waits to be let go, and which may fail. */
    private static final class SlowStorage implements LogStorage {
        private final CountDownLatch mEntered = new CountDownLatch(1);
        private final CountDownLatch mLetGo = new CountDownLatch(1);
        private final List<Integer> mBatches = new ArrayList<>();
        private final List<Long> mMarks = new ArrayList<>();
        private boolean mFails;
        private int mRefusals;

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
            mEntered.countDown();
            await(mLetGo);
            if (mFails) {
                throw new LaurelweirException(ResultCode.DISK_FAILED, "no space");
            }
            if (mRefusals > 0) {
                mRefusals--;
                throw new LaurelweirException(ResultCode.DISK_FULL, "no space");
            }
            mBatches.add(effects.size());
        }

        @Override
        public void markCommitted(long index) {
            mMarks.add(index);
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
    void effectsThatComeDuringASyncShareTheNext() {
        SlowStorage storage = new SlowStorage();
        List<Long> persisted = new ArrayList<>();
        LogWriter writer = new LogWriter(storage, persisted::add, e -> {});
        writer.start();
        writer.persist(effect(1));
        await(storage.mEntered);
        for (long sequence = 2; sequence <= 5; sequence++) {
            writer.persist(effect(sequence));
        }
        storage.mLetGo.countDown();
        writer.stop();
        assertThat(storage.mBatches).containsExactly(1, 4);
        assertThat(persisted).containsExactly(1L, 5L);
    }

    @Test
    void notesTheLastCommittedIndexBehindWhatIsToBePersisted() {
        SlowStorage storage = new SlowStorage();
        LogWriter writer = new LogWriter(storage, sequence -> {}, e -> {});
        writer.start();
        writer.persist(effect(1));
        await(storage.mEntered);
        writer.markCommitted(3);
        writer.markCommitted(4);
        writer.persist(effect(2));
        storage.mLetGo.countDown();
        writer.stop();
        assertThat(storage.mBatches).containsExactly(1, 1);
        assertThat(storage.mMarks).containsExactly(4L);
    }

    // Nothing is reported as persisted once the disk has failed; the shell is told and must stop.
    // Order: a write fails, another one waits behind it. Why: the thread ends at the failure.
    @Test
    void endsAtTheFirstFailure() throws Exception {
        SlowStorage storage = new SlowStorage();
        storage.mFails = true;
        LinkedBlockingQueue<Long> persisted = new LinkedBlockingQueue<>();
        CompletableFuture<Throwable> failed = new CompletableFuture<>();
        LogWriter writer = new LogWriter(storage, persisted::add, failed::complete);
        writer.start();
        writer.persist(effect(1));
        await(storage.mEntered);
        writer.persist(effect(2));
        storage.mLetGo.countDown();
        assertThat(failed.get(60, TimeUnit.SECONDS))
                .isInstanceOfSatisfying(
                        LaurelweirException.class,
                        e -> assertThat(e.getCode()).isEqualTo(ResultCode.DISK_FAILED));
        writer.stop();
        assertThat(persisted).isEmpty();
    }

    // A control instance ended, beside a router that served, when its disk was full for a moment.
    @Test
    void waitsForADiskThatIsFull() {
        SlowStorage storage = new SlowStorage();
        storage.mRefusals = 3;
        LinkedBlockingQueue<Long> persisted = new LinkedBlockingQueue<>();
        CompletableFuture<Throwable> failed = new CompletableFuture<>();
        LogWriter writer = new LogWriter(storage, persisted::add, failed::complete);
        writer.start();
        storage.mLetGo.countDown();
        writer.persist(effect(1));
        Await.until("the effect is persisted", () -> !persisted.isEmpty());
        writer.persist(effect(2));
        writer.stop();
        assertThat(failed).isNotDone();
        assertThat(persisted).containsExactly(1L, 2L);
        assertThat(storage.mBatches).containsExactly(1, 1);
    }

    // An effect that waited behind one that was given up would leave a hole in the log.
    @Test
    void persistsNothingBehindWhatAFullDiskRefusedUntilTheStop() {
        SlowStorage storage = new SlowStorage();
        storage.mRefusals = Integer.MAX_VALUE;
        LinkedBlockingQueue<Long> persisted = new LinkedBlockingQueue<>();
        LogWriter writer = new LogWriter(storage, persisted::add, e -> {});
        writer.start();
        writer.persist(effect(1));
        await(storage.mEntered);
        writer.persist(effect(2));
        storage.mLetGo.countDown();
        writer.stop();
        assertThat(persisted).isEmpty();
        assertThat(storage.mBatches).isEmpty();
    }
}
