package org.laurelweir.control.storage;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import org.laurelweir.consensus.ConsensusEffect.Persist;
import org.laurelweir.errors.LaurelweirException;
import org.laurelweir.lib.ResultCode;
import org.laurelweir.lib.Service;

/**
 * Persists effects on its own thread, so that the event loop never waits for the disk. All effects
 * that arrive during a sync share the next one. The callbacks run on the writer's thread; the
 * program turns them into events.
 */
public final class LogWriter implements Service {
    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();

    /**
     * Interval between two attempts to write to a full disk. It is well below the election timeout,
     * so a disk with space again is used before the next election.
     */
    private static final Duration RETRY_INTERVAL = Duration.ofMillis(250);

    private final LogStorage mStorage;
    private final LongConsumer mOnPersisted;
    private final Consumer<Throwable> mOnFailure;
    private final Thread mThread = new Thread(this::run, "log-writer");
    private List<Persist> mPending = new ArrayList<>();

    /** The committed index to write, 0 if there is none. */
    private long mCommitIndex;

    private boolean mStopping;
    private final CountDownLatch mStopRequested = new CountDownLatch(1);

    /**
     * Creates a writer.
     *
     * @param storage closed by its owner after this writer has stopped
     * @param persisted receives the sequence up to which all effects have been synced, once per
     *     batch
     * @param failed called once if the disk or the writer fails; no more effects are persisted
     *     then, and the replica must stop
     */
    public LogWriter(LogStorage storage, LongConsumer persisted, Consumer<Throwable> failed) {
        mStorage = storage;
        mOnPersisted = persisted;
        mOnFailure = failed;
    }

    @Override
    public void start() {
        mThread.start();
    }

    /** Queues one effect. Must be called by one thread, in the order of the sequences. */
    public synchronized void persist(Persist effect) {
        mPending.add(effect);
        notifyAll();
    }

    /**
     * Queues the index up to which the log is committed. It is written when no effects are pending;
     * of several indexes only the last one is written.
     */
    public synchronized void markCommitted(long index) {
        mCommitIndex = index;
        notifyAll();
    }

    /**
     * Persists the queued effects unless the disk rejects them, then ends the thread. The thread is
     * not interrupted, because an interrupt would close the file channel in the middle of a write.
     */
    @Override
    public void stop() {
        requestStop();
        try {
            mThread.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private synchronized void requestStop() {
        mStopping = true;
        mStopRequested.countDown();
        notifyAll();
    }

    private void run() {
        try {
            Work work = takeWork();
            while (!work.isEmpty() && execute(work)) {
                work = takeWork();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (RuntimeException | Error e) {
            // If the thread ended silently, the replica would go on running without acknowledging
            // anything.
            sLogger.atSevere().withCause(e).log("the log writer failed; the replica must stop");
            mOnFailure.accept(e);
        }
    }

    /**
     * Executes a unit of work.
     *
     * @return whether it is done; if not, nothing may be persisted after it
     */
    private boolean execute(Work work) throws InterruptedException {
        if (work.batch().isEmpty()) {
            mStorage.markCommitted(work.commitIndex());
            return true;
        }
        if (!persistWithRetries(work.batch())) {
            return false;
        }
        mOnPersisted.accept(work.batch().get(work.batch().size() - 1).sequence());
        return true;
    }

    /**
     * Persists a batch, and retries while the disk is full. Meanwhile the instance serves the state
     * that it has; it neither votes nor acknowledges anything that is not on the disk.
     *
     * @return whether the batch is persisted; if not, the writer has been stopped
     */
    private boolean persistWithRetries(List<Persist> batch) throws InterruptedException {
        for (int attempts = 1; ; attempts++) {
            try {
                mStorage.persist(batch);
                logRecovery(attempts);
                return true;
            } catch (LaurelweirException e) {
                if (e.getCode() != ResultCode.DISK_FULL) {
                    throw e;
                }
                sLogger.atWarning().atMostEvery(1, TimeUnit.SECONDS).log(
                        "the disk takes no writes, %d effects wait, tried again: %s",
                        batch.size(), e);
            }
            if (mStopRequested.await(RETRY_INTERVAL.toMillis(), TimeUnit.MILLISECONDS)) {
                return false;
            }
        }
    }

    private static void logRecovery(int attempts) {
        if (attempts > 1) {
            sLogger.atInfo().log("the disk takes writes again, after %d tries", attempts);
        }
    }

    /**
     * Waits for work. Returns all pending effects or, if there are none, the committed index;
     * returns empty work after a stop.
     */
    private synchronized Work takeWork() throws InterruptedException {
        while (mPending.isEmpty() && mCommitIndex == 0 && !mStopping) {
            wait();
        }
        if (!mPending.isEmpty()) {
            List<Persist> batch = mPending;
            mPending = new ArrayList<>();
            return new Work(batch, 0);
        }
        long commitIndex = mCommitIndex;
        mCommitIndex = 0;
        return new Work(List.of(), commitIndex);
    }

    /**
     * A unit of work: effects to persist, or a committed index to write, or neither after a stop.
     */
    private record Work(List<Persist> batch, long commitIndex) {
        boolean isEmpty() {
            return batch.isEmpty() && commitIndex == 0;
        }
    }
}
